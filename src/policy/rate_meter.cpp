// Divides an exponentially decaying sum of work by an exponentially decaying sum of busy time.
#include "policy/rate_meter.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {
namespace {

/// Less busy time than this counts as this long, since the quotient would be noise.
constexpr double min_busy_seconds = 0.02;

} // namespace

rate_meter::rate_meter(duration memory) noexcept : m_memory(memory) {}

void rate_meter::record(double units, bool was_busy, time_point now) noexcept {
    const double elapsed = m_has_last ? std::max(0.0, to_seconds(now - m_last)) : 0.0;
    m_last = now;
    m_has_last = true;
    if (was_busy) {
        const double kept = std::exp(-elapsed / to_seconds(m_memory));
        m_units *= kept;
        m_seconds = m_seconds * kept + elapsed;
    }
    m_units += units;
}

double rate_meter::rate() const noexcept {
    if (m_units <= 0 || m_seconds <= 0) {
        return 0;
    }
    return m_units / std::max(m_seconds, min_busy_seconds);
}

} // namespace borageford::policy
