// Decides at which ticks a member sends heartbeats to the other members.
#pragma once

#include <cstddef>
#include <cstdint>

namespace borageford::coordination {

/// What the receiver of a heartbeat is to its sender.
enum class heartbeat_receiver : std::uint8_t {
    coordinator, ///< coordinates the sender
    next,        ///< may become the coordinator of the sender, which has none at present
    candidate,   ///< may take over from the present coordinator
    absent,      ///< would be a candidate, but is unresponsive; see election_limits::absence_timeout
};

/// slot_broker uses one schedule for all receivers, with ticks of 50 ms.
class heartbeat_schedule {
public:
    /// Starts the next tick. `members` is the number of members that the coordinator reported; 0: unknown.
    void begin_tick(std::size_t members) noexcept;
    /// Whether receivers of this kind get a heartbeat in the current tick.
    [[nodiscard]] bool is_due(heartbeat_receiver to) const noexcept;

private:
    unsigned m_tick = 0;
    unsigned m_period = 1; ///< ticks between two heartbeats to the coordinator
};

} // namespace borageford::coordination
