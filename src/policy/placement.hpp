// Chooses the backend servers that a request is offered to. A setting selects the policy. Used by entries,
// which offer requests to the sidecars of the servers; gateways choose servers with slot_choice.
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

/// Any of the placement policies. Policies have no mutable state, so several threads may use one at the same
/// time.
using placement_policy = std::variant<round_robin, power_of_two, late_binding>;

/// The policy of this name: "round_robin", "power_of_two" or "late_binding", which is the setting's default.
/// Nothing for other text.
[[nodiscard]] std::optional<placement_policy> find_placement_policy(std::string_view name);

/// Calls `plan` of the policy.
[[nodiscard]] placement_plan plan_placement(const placement_policy& policy, const placement_request& request,
                                            std::span<const placement_candidate> candidates);

} // namespace borageford::policy
