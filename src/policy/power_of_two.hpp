// Placement by two random choices: the one with fewer requests, by its last report and one's own since.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

class power_of_two {
public:
    [[nodiscard]] placement_plan plan(const placement_request& request,
                                      std::span<const placement_candidate> candidates) const;
};

} // namespace borageford::policy
