// At which ticks a member sends heartbeats, and to whom.
#pragma once

#include <cstddef>
#include <cstdint>

namespace borageford::coordination {

enum class heartbeat_receiver : std::uint8_t {
    coordinator, ///< of the sender
    next,        ///< may coordinate, while nobody does for the sender
    candidate,   ///< may coordinate after the present one
    absent,      ///< was a candidate and hasn't been heard for long
};

class heartbeat_schedule {
public:
    /// `members`: that the coordinator counts; 0: not known.
    void begin_tick(std::size_t members) noexcept;
    /// Whether a heartbeat is to be sent in this tick.
    [[nodiscard]] bool is_due(heartbeat_receiver to) const noexcept;

private:
    unsigned m_tick = 0;
    unsigned m_period = 1; ///< in ticks, to the coordinator
};

} // namespace borageford::coordination
