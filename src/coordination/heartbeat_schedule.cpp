// Counts ticks.
#include "coordination/heartbeat_schedule.hpp"

#include <algorithm>

namespace borageford::coordination {

namespace {

/// With more members than this each sends at every second tick only: heartbeats of hundreds at every tick
/// would take all of a small coordinator's processor. Two of every second tick fit into the silence after
/// which a coordinator is passed over.
constexpr std::size_t members_at_each_tick = 60;
constexpr std::size_t longest_period = 2;
/// Other candidates than the coordinator are sent one for so many of the coordinator's.
constexpr unsigned candidate_factor = 4;
/// Absent candidates are asked this rarely, but at each of the first ticks.
constexpr unsigned absent_period = 20;

} // namespace

void heartbeat_schedule::begin_tick(std::size_t members) noexcept {
    ++m_tick;
    m_period =
        static_cast<unsigned>(std::clamp<std::size_t>(members / members_at_each_tick, 1, longest_period));
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
    return m_tick < absent_period || m_tick % absent_period == 0;
}

} // namespace borageford::coordination
