// Implements slot_time_model as one moving average for each tier of each service.
#include "policy/slot_time_model.hpp"

#include <limits>

namespace borageford::policy {

namespace {

/// Weight of the newest request in a moving average, so that about the last fifty requests of the tier
/// determine it, over all servers of the service.
constexpr double newest_weight = 0.02;

} // namespace

void slot_time_model::learn(service_key service, int tier, duration busy) {
    const auto [average, is_first] = m_seconds.try_emplace({service, tier}, to_seconds(busy));
    if (!is_first) {
        average->second += newest_weight * (to_seconds(busy) - average->second);
    }
}

duration slot_time_model::expect(service_key service, int tier) const {
    const auto found = m_seconds.find({service, tier});
    if (found != m_seconds.end()) {
        return from_seconds(found->second);
    }
    double sum = 0;
    int tiers = 0;
    for (auto other = m_seconds.lower_bound({service, std::numeric_limits<int>::min()});
         other != m_seconds.end() && other->first.first == service; ++other) {
        sum += other->second;
        ++tiers;
    }
    return tiers == 0 ? duration::zero() : from_seconds(sum / tiers);
}

} // namespace borageford::policy
