// Where a request is offered. The policy is chosen by a setting and visited.
#pragma once

#include "policy/late_binding.hpp"
#include "policy/placement_values.hpp"
#include "policy/power_of_two.hpp"
#include "policy/round_robin.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace borageford::policy {

/// Policies keep no state, so one may be used from many threads.
using placement_policy = std::variant<round_robin, power_of_two, late_binding>;

/// "round_robin", "power_of_two" or "late_binding" (the default of the setting); nothing for other text.
[[nodiscard]] std::optional<placement_policy> find_placement_policy(std::string_view name);

[[nodiscard]] placement_plan plan_placement(const placement_policy& policy, const placement_request& request,
                                            std::span<const placement_candidate> candidates);

} // namespace borageford::policy
