// Implements slot_forecast with rates of arrivals over the last second, and over a longer time for what is
// usual.
#include "policy/slot_forecast.hpp"

namespace borageford::policy {

namespace {

/// Time constant of the usual rate: a workspace that sends many times its usual for some seconds, until its
/// callers are refused or its quota is used up, changes little of it.
constexpr double usual_seconds = 20;
/// Bounds the memory of a tier.
constexpr std::size_t max_workspaces = 1000;

} // namespace

void slot_forecast::record_arrival(const slot_request& request, time_point now) {
    auto& tier = m_services[request.service]
                     .try_emplace(request.tier, tier_arrivals{{}, event_rate(usual_seconds), {}})
                     .first->second;
    tier.recent.record(now);
    tier.usual.record(now);
    if (tier.usual_by_workspace.size() < max_workspaces ||
        tier.usual_by_workspace.contains(request.workspace)) {
        tier.usual_by_workspace.try_emplace(request.workspace, event_rate(usual_seconds))
            .first->second.record(now);
    }
}

double slot_forecast::demand(service_key service, int tier, const slot_time_model& times,
                             time_point now) const {
    const auto tiers = m_services.find(service);
    if (tiers == m_services.end()) {
        return 0;
    }
    const auto found = tiers->second.find(tier);
    if (found == tiers->second.end()) {
        return 0;
    }
    return found->second.recent.per_second(now) * to_seconds(times.expect(service, tier));
}

double slot_forecast::demand_above(service_key service, int tier, const slot_time_model& times,
                                   time_point now) const {
    const auto tiers = m_services.find(service);
    if (tiers == m_services.end()) {
        return 0;
    }
    double sum = 0;
    const auto end = tiers->second.lower_bound(tier);
    for (auto higher = tiers->second.begin(); higher != end; ++higher) {
        sum += demand(service, higher->first, times, now);
    }
    return sum;
}

double slot_forecast::usual_share(const slot_request& request, time_point now) const {
    const auto tiers = m_services.find(request.service);
    if (tiers == m_services.end() || !tiers->second.contains(request.tier)) {
        return 1;
    }
    const auto& tier = tiers->second.at(request.tier);
    const auto workspace = tier.usual_by_workspace.find(request.workspace);
    const double all = tier.usual.per_second(now);
    return workspace == tier.usual_by_workspace.end() || all <= 0 ? 1
                                                                  : workspace->second.per_second(now) / all;
}

} // namespace borageford::policy
