// Functions with which slot_broker writes its events to the event log.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/slot_request.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace borageford::coordination {

/// Returns the member's IPv4 address in dotted notation, for the log.
[[nodiscard]] std::string describe_member(policy::member_key member);

/// Logs each refusal of slot requests of `member`. `waiting` and `running` are the numbers of requests that
/// wait for a slot and that occupy one, as counted by the process that refuses.
void log_refusals(policy::member_key member, std::span<const policy::slot_refusal> refusals,
                  std::size_t waiting, std::size_t running);

/// A change of the process that grants slots to the requests of this process.
struct source_change {
    std::string_view from;              ///< the previous slot_source, as text
    std::string_view to;                ///< the new slot_source, as text
    policy::member_key coordinator = 0; ///< the new coordinator; this process itself if it has none
    std::size_t waiting = 0;            ///< requests of this process that wait for a slot
    std::size_t running = 0;            ///< requests of this process that occupy a slot
};
void log_source_change(const source_change& change);

/// Logs that this process now coordinates `member`. `members` is the number of members that it coordinates,
/// itself included.
void log_attached_member(policy::member_key member, std::size_t members);
/// Logs that a coordinated member is unresponsive and was dropped. `silent` is the time since its last
/// message.
void log_lost_member(policy::member_key member, policy::duration silent);

} // namespace borageford::coordination
