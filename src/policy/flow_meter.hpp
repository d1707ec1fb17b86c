// A rate over the last second or so, from single events.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

class flow_meter {
public:
    void count(time_point now) noexcept;
    /// Whether there ever was an event; without one the rate is unknown, not zero.
    [[nodiscard]] bool has_counted() const noexcept { return m_begin != time_point::min(); }
    /// Events a second, those longer ago counting less. Just after the first event only the time since then
    /// counts: taken for a whole second, the first grants of a process that had just started looked like the
    /// few of one whose servers hang.
    [[nodiscard]] double per_second(time_point now) const noexcept;

private:
    [[nodiscard]] double decayed(time_point now) const noexcept;

    double m_level = 0;
    time_point m_begin = time_point::min();
    time_point m_updated = time_point::min();
};

} // namespace borageford::policy
