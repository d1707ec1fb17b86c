// Estimates the rate of events, such as grants from a queue, over about the last second or another time.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Exponentially decaying event rate: recent events count more than older ones.
class event_rate {
public:
    event_rate() = default;
    /// With this time constant of the decay instead of the usual one, in seconds.
    explicit event_rate(double time_constant) noexcept : m_time_constant(time_constant) {}

    /// Records one event.
    void record(time_point now) noexcept;
    /// The current estimate in events per second; 0 if no event was ever recorded.
    [[nodiscard]] double per_second(time_point now) const noexcept;

private:
    /// Bursts of requests start and end within about a second, so a longer memory would react too late.
    static constexpr double usual_time_constant = 1;

    /// `m_level` decayed to `now`.
    [[nodiscard]] double decayed(time_point now) const noexcept;

    double m_time_constant = usual_time_constant; ///< seconds
    double m_level = 0;                           ///< decayed count of events at the time `m_updated`
    time_point m_updated = time_point::min();     ///< time of the last event; time_point::min(): no event yet
};

} // namespace borageford::policy
