// Implements slot_time_model as one moving average for each tier of each service.
#include "policy/slot_time_model.hpp"

#include <cmath>
#include <limits>

namespace borageford::policy {

namespace {

/// Weight of the newest request in a moving average, so that about the last fifty requests of the tier
/// determine it, over all servers of the service.
constexpr double newest_weight = 0.02;

duration to_duration(double ticks) {
    return duration(std::llround(ticks));
}

} // namespace

void slot_time_model::learn(service_key service, int tier, duration busy) {
    const auto ticks = static_cast<double>(busy.count());
    const auto [average, is_first] = m_ticks.try_emplace({service, tier}, ticks);
    if (!is_first) {
        average->second += newest_weight * (ticks - average->second);
    }
}

duration slot_time_model::expect(service_key service, int tier) const {
    const auto found = m_ticks.find({service, tier});
    if (found != m_ticks.end()) {
        return to_duration(found->second);
    }
    double sum = 0;
    int tiers = 0;
    for (auto other = m_ticks.lower_bound({service, std::numeric_limits<int>::min()});
         other != m_ticks.end() && other->first.first == service; ++other) {
        sum += other->second;
        ++tiers;
    }
    return tiers == 0 ? duration::zero() : to_duration(sum / tiers);
}

} // namespace borageford::policy
