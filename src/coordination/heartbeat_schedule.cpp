// Derives the heartbeats that are due from a count of ticks and from the number of members.
#include "coordination/heartbeat_schedule.hpp"

#include <algorithm>

namespace borageford::coordination {

namespace {

/// With more members than this, each member sends to its coordinator at every second tick only. Heartbeats of
/// hundreds of members at every tick would use up the processor of a small coordinator. Two heartbeats at
/// every second tick still fit into election_limits::response_timeout, after which a coordinator counts as
/// unresponsive.
constexpr std::size_t max_members_at_each_tick = 60;
constexpr std::size_t max_period_ticks = 2;
/// A candidate that isn't the coordinator gets one heartbeat while the coordinator gets this many.
constexpr unsigned candidate_factor = 4;
/// Absent candidates get a heartbeat at each of the first ticks, this many of them, and once in this many
/// ticks later on.
constexpr unsigned absent_period_ticks = 20;

} // namespace

void heartbeat_schedule::begin_tick(std::size_t members) noexcept {
    ++m_tick;
    m_period = static_cast<unsigned>(
        std::clamp<std::size_t>(members / max_members_at_each_tick, 1, max_period_ticks));
}

bool heartbeat_schedule::is_due(heartbeat_receiver to) const noexcept {
    switch (to) {
    case heartbeat_receiver::next:
        return true;
    case heartbeat_receiver::coordinator:
        return m_tick % m_period == 0;
    case heartbeat_receiver::candidate:
        return m_tick % (candidate_factor * m_period) == 0;
    case heartbeat_receiver::absent:
        break;
    }
    return m_tick < absent_period_ticks || m_tick % absent_period_ticks == 0;
}

} // namespace borageford::coordination
