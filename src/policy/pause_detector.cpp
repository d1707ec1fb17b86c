// Compares the time between two calls with the period in which the calls should come.
#include "policy/pause_detector.hpp"

#include <chrono>

namespace borageford::policy {

namespace {

/// A longer gap between two calls means that the process didn't run. Calls come at least every 50 ms, and a
/// process that has used up its processor quota may stand still for up to 100 ms.
constexpr std::chrono::milliseconds longest_gap{200};
/// A suspension that is shorter than this doesn't matter.
constexpr std::chrono::milliseconds shortest_suspension{20};
/// After a pause, bytes that arrived during it are read for at most this long.
constexpr std::chrono::milliseconds backlog_time{100};

} // namespace

duration pause_detector::update(time_point now, duration suspended) {
    const auto missed = m_has_suspended ? suspended - m_suspended : duration::zero();
    const bool was_suspended = missed >= shortest_suspension;
    if (was_suspended || now - m_last > longest_gap) {
        m_missed = was_suspended ? missed : duration::zero();
        m_paused = m_last - m_missed;
        m_resumed = now;
    }
    if (was_suspended || !m_has_suspended) {
        m_suspended = suspended;
        m_has_suspended = true;
    }
    m_last = now;
    return was_suspended ? missed : duration::zero();
}

time_point pause_detector::earliest_arrival(time_point now) const {
    const bool has_backlog = m_resumed != time_point::min() && now - m_resumed <= backlog_time;
    return has_backlog ? m_paused : now;
}

time_point pause_detector::correct(time_point past) const {
    return past < m_resumed ? past - m_missed : past;
}

} // namespace borageford::policy
