// The level is stored with the time of its last update and recomputed at each call.
#include "policy/token_bucket.hpp"

#include <algorithm>

namespace borageford::policy {

token_bucket::token_bucket(double rate, double burst, time_point now) noexcept
    : m_rate(rate), m_burst(burst), m_level(burst), m_updated(now) {}

void token_bucket::set_rate(double rate, double burst, time_point now) noexcept {
    m_level = std::min(level_at(now), burst);
    m_updated = now;
    m_rate = rate;
    m_burst = burst;
}

bool token_bucket::try_take(double amount, time_point now) noexcept {
    const double level = level_at(now);
    if (level < amount) {
        return false;
    }
    m_level = level - amount;
    m_updated = now;
    return true;
}

void token_bucket::charge(double amount, time_point now) noexcept {
    m_level = std::min(level_at(now) - amount, m_burst);
    m_updated = now;
}

duration token_bucket::time_until(double amount, time_point now) const noexcept {
    const double missing = amount - level_at(now);
    if (missing <= 0) {
        return duration::zero();
    }
    if (m_rate <= 0 || amount > m_burst) {
        return duration::max();
    }
    return from_seconds(missing / m_rate);
}

double token_bucket::level_at(time_point now) const noexcept {
    const double elapsed = std::max(0.0, to_seconds(now - m_updated));
    return std::min(m_burst, m_level + elapsed * m_rate);
}

} // namespace borageford::policy
