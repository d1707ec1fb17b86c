// Estimates the rate of events, such as grants from a queue, over about the last second or a given time
// constant.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Exponentially decaying event rate: recent events count more than older ones.
class event_rate {
public:
    event_rate() = default;
    /// Uses this time constant of the decay, in seconds.
    explicit event_rate(double time_constant_seconds) noexcept
        : m_time_constant_seconds(time_constant_seconds) {}

    /// Records one event.
    void record(time_point now) noexcept;
    /// The current estimate in events per second; 0 if no event was ever recorded.
    [[nodiscard]] double per_second(time_point now) const noexcept;

private:
    /// Bursts of requests start and end within about a second, so a longer memory would react too late.
    static constexpr double default_time_constant_seconds = 1;

    /// `m_level` decayed to `now`.
    [[nodiscard]] double decayed(time_point now) const noexcept;

    double m_time_constant_seconds = default_time_constant_seconds; ///< seconds
    double m_level = 0;                       ///< decayed count of events at the time `m_updated`
    time_point m_updated = time_point::min(); ///< time of the last event; time_point::min(): no event yet
};

} // namespace borageford::policy
