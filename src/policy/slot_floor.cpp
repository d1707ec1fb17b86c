// Implements slot_floor: measures each tier's slot time as its number of running requests, averaged over the
// last seconds.
#include "policy/slot_floor.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// Time constant of the average. The most expensive requests take one to three seconds. With a shorter time,
/// each of them would look like all of the slot time; with a longer one, a tier that had its minimum share
/// before a burst would get nothing during the whole burst.
constexpr double time_constant_seconds = 2;
/// Maximum number of slots that a tier may be granted at once, as a multiple of its minimum share: enough to
/// catch up within the averaging time, but not enough to displace all other tiers together.
constexpr double max_at_once = 2;

} // namespace

void slot_floor::advance(time_point now) {
    if (m_updated != time_point::min() && now > m_updated) {
        const double kept = std::exp(-to_seconds(now - m_updated) / time_constant_seconds);
        for (auto& [tier, use] : m_tiers) {
            use.recent = use.recent * kept + static_cast<double>(use.running) * (1 - kept);
        }
    }
    m_updated = std::max(m_updated, now);
}

void slot_floor::begin(int tier, time_point now) {
    advance(now);
    ++m_tiers[tier].running;
}

void slot_floor::end(int tier, time_point now) {
    advance(now);
    auto& use = m_tiers[tier];
    use.running -= std::min<std::size_t>(use.running, 1);
}

std::size_t slot_floor::running() const {
    std::size_t result = 0;
    for (const auto& [tier, use] : m_tiers) {
        result += use.running;
    }
    return result;
}

double slot_floor::share(int tier, time_point now) {
    advance(now);
    double all = 0;
    for (const auto& [other, use] : m_tiers) {
        all += use.recent;
    }
    const auto found = m_tiers.find(tier);
    return found == m_tiers.end() || all <= 0 ? 0 : found->second.recent / all;
}

std::size_t slot_floor::slots_below_minimum(int tier, std::size_t waiting_tiers, time_point now) {
    const double minimum = std::min(
        m_limits.share, m_limits.share_of_all / static_cast<double>(std::max<std::size_t>(waiting_tiers, 1)));
    if (share(tier, now) >= minimum) {
        return 0;
    }
    const auto max_slots = std::max(1.0, max_at_once * minimum * static_cast<double>(running()));
    const auto used = m_tiers[tier].running;
    return static_cast<std::size_t>(max_slots) > used ? static_cast<std::size_t>(max_slots) - used : 0;
}

} // namespace borageford::policy
