// Placement by two random choices: of two random candidates, the one with fewer requests is chosen. Requests
// are counted from its last load report and from this entry process's own offers since then.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

class power_of_two {
public:
    [[nodiscard]] placement_plan plan(const placement_request& request,
                                      std::span<const placement_candidate> candidates) const;
};

} // namespace borageford::policy
