// Placement in turn, blind to load and prefixes: the floor to compare with.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

class round_robin {
public:
    [[nodiscard]] placement_plan plan(const placement_request& request,
                                      std::span<const placement_candidate> candidates) const;
};

} // namespace borageford::policy
