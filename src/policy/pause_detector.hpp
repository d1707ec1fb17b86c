// Detects that this process didn't run for a while, and corrects times around such a pause.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// After a pause, a process reads bytes that arrived during it, and its clock may have missed the pause: the
/// steady clock doesn't run while the machine is suspended. Both would make old news look recent.
class pause_detector {
public:
    explicit pause_detector(time_point now) : m_last(now), m_resumed(time_point::min()) {}

    /// To be called often: every 50 ms and before each use of another function. `suspended` is the time for
    /// which the machine has been suspended in total. Returns how much of it is new, by which earlier times
    /// on the steady clock have to be set back.
    duration update(time_point now, duration suspended);

    /// The earliest time at which bytes that are read now may have arrived.
    [[nodiscard]] time_point earliest_arrival(time_point now) const;
    /// Sets a time that was read before the last pause back by the time that the clock has missed.
    [[nodiscard]] time_point correct(time_point past) const;

private:
    time_point m_last; ///< the last call of update()
    duration m_suspended{};
    bool m_has_suspended = false; ///< m_suspended is set
    time_point m_paused;          ///< begin of the last pause, corrected
    time_point m_resumed;         ///< end of the last pause
    duration m_missed{};          ///< time that the clock missed in the last pause
};

} // namespace borageford::policy
