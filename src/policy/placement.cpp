// Maps names to placement policies and dispatches to them.
#include "policy/placement.hpp"

namespace borageford::policy {

std::optional<placement_policy> find_placement_policy(std::string_view name) {
    if (name == "round_robin") {
        return round_robin{};
    }
    if (name == "power_of_two") {
        return power_of_two{};
    }
    if (name == "late_binding") {
        return late_binding{};
    }
    return std::nullopt;
}

placement_plan plan_placement(const placement_policy& policy, const placement_request& request,
                              std::span<const placement_candidate> candidates) {
    return std::visit([&](const auto& chosen) { return chosen.plan(request, candidates); }, policy);
}

} // namespace borageford::policy
