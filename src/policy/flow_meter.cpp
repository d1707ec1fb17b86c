// An exponentially decaying count.
#include "policy/flow_meter.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// Bursts begin and end within about a second.
constexpr double memory_seconds = 1;
/// Some round trips: the events of a shorter time say nothing about a rate.
constexpr double shortest_seconds = 0.02;

} // namespace

double flow_meter::decayed(time_point now) const noexcept {
    if (!has_counted()) {
        return 0;
    }
    return m_level * std::exp(-to_seconds(now - m_updated) / memory_seconds);
}

void flow_meter::count(time_point now) noexcept {
    m_level = decayed(now) + 1;
    m_updated = now;
    if (!has_counted()) {
        m_begin = now;
    }
}

double flow_meter::per_second(time_point now) const noexcept {
    const double seconds = std::max(shortest_seconds, to_seconds(now - m_begin));
    // What a steady rate would have gathered by now, as a part of what it gathers in the long run.
    const double gathered = 1 - std::exp(-seconds / memory_seconds);
    return decayed(now) / (memory_seconds * gathered);
}

} // namespace borageford::policy
