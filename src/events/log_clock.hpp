// The time of a log's lines, on a machine whose clock may be set while a process runs.
#pragma once

#include <chrono>
#include <string>

namespace borageford::events {

/// Clocks of machines jump, forward and back. Lines that bore the clock's time would lie in another order
/// than what they tell of: a request refused before it came, a slot granted before it was asked for. So the
/// clock is read once, at the process's start, and the steady clock counts from there.
///
/// Invariant: of two lines of one process, the later one never bears an earlier time.
class log_clock {
public:
    using wall_time = std::chrono::system_clock::time_point;
    using steady_time = std::chrono::steady_clock::time_point;

    log_clock(wall_time started, steady_time at) noexcept : m_started(started), m_at(at) {}

    /// The time of a line that is written now.
    [[nodiscard]] wall_time time(steady_time now) const noexcept;
    /// How far the machine's clock is ahead of the lines' time, when that is more than clocks drift; else
    /// zero. A machine that was suspended shows it too, since the steady clock stood still meanwhile.
    [[nodiscard]] std::chrono::milliseconds step(wall_time wall, steady_time now) const noexcept;

private:
    wall_time m_started;
    steady_time m_at;
};

/// Such as 2026-04-05T07:54:15.040355Z, in UTC.
[[nodiscard]] std::string format_log_time(log_clock::wall_time time);

} // namespace borageford::events
