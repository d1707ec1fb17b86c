// Round-robin placement, which ignores load and cached prefixes. It is the baseline for comparing the other
// policies.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

class round_robin {
public:
    [[nodiscard]] placement_plan plan(const placement_request& request,
                                      std::span<const placement_candidate> candidates) const;
};

} // namespace borageford::policy
