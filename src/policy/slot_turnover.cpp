// Implements slot_turnover by Little's law: the rate at which requests end is the number of running requests
// divided by the time that each one takes.
#include "policy/slot_turnover.hpp"

namespace borageford::policy {

namespace {

/// Weight of the newest request in the moving average, so that about the last ten requests determine it: one
/// second of a server under load.
constexpr double newest_weight = 0.1;

} // namespace

void slot_turnover::learn(duration busy, unsigned outstanding) noexcept {
    if (outstanding == 0 || busy <= duration::zero()) {
        return;
    }
    const double interval = to_seconds(busy) / outstanding;
    m_seconds_between_ends +=
        (m_seconds_between_ends == 0 ? 1 : newest_weight) * (interval - m_seconds_between_ends);
}

void slot_turnover::adopt(double seconds_between_ends) noexcept {
    if (m_seconds_between_ends == 0 && seconds_between_ends > 0) {
        m_seconds_between_ends = seconds_between_ends;
    }
}

duration slot_turnover::wait(unsigned outstanding, unsigned slots) const noexcept {
    if (outstanding < slots) {
        return duration::zero();
    }
    return from_seconds((outstanding - slots + 1) * m_seconds_between_ends);
}

} // namespace borageford::policy
