// The clock that time-stamps log lines, on a machine whose system clock may be set while a process runs.
#pragma once

#include <chrono>
#include <string>

namespace borageford::events {

/// System clocks jump forward and back. With the system clock's time, lines would sort in another order than
/// the events happened: a request would seem refused before it arrived. The system clock is therefore read
/// once, at the start of the process, and later times are computed from the steady clock.
///
/// Invariant: a line never has an earlier time than the previous lines of the same process.
class log_clock {
public:
    using wall_time = std::chrono::system_clock::time_point;
    using steady_time = std::chrono::steady_clock::time_point;

    /// `started` and `at` are readings of the system clock and the steady clock taken at the same moment.
    log_clock(wall_time started, steady_time at) noexcept : m_started(started), m_at(at) {}

    /// The time stamp of a line that is written at `now`.
    [[nodiscard]] wall_time time(steady_time now) const noexcept;
    /// How far the system clock's reading `wall` is ahead of the time stamp for `now`; zero when the
    /// difference is below 100 ms, which may be drift. A machine that was suspended has a step too, since its
    /// steady clock stood still in the meantime.
    [[nodiscard]] std::chrono::milliseconds step(wall_time wall, steady_time now) const noexcept;

private:
    wall_time m_started;
    steady_time m_at;
};

/// Formats a time in UTC with microseconds, for example 2026-04-05T07:54:15.040355Z.
[[nodiscard]] std::string format_log_time(log_clock::wall_time time);

} // namespace borageford::events
