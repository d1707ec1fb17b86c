// Implements event_rate as a count of events that decays exponentially over time.
#include "policy/event_rate.hpp"

#include <cmath>

namespace borageford::policy {

double event_rate::decayed(time_point now) const noexcept {
    if (m_updated == time_point::min()) {
        return 0;
    }
    return m_level * std::exp(-to_seconds(now - m_updated) / m_time_constant_seconds);
}

void event_rate::record(time_point now) noexcept {
    m_level = decayed(now) + 1;
    m_updated = now;
}

double event_rate::per_second(time_point now) const noexcept {
    return decayed(now) / m_time_constant_seconds;
}

} // namespace borageford::policy
