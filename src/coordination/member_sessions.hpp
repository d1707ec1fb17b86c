// The sessions of a coordinator with the members whose requests it coordinates.
#pragma once

#include "coordination/batch_channel.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace borageford::coordination {

/// One session for each member, and which of them have datagrams to send. Sends nothing itself.
class member_sessions {
public:
    struct session {
        batch_channel channel;
        policy::time_point last_message; ///< time of the member's last message
        unsigned heartbeats = 0;         ///< heartbeats of the member in this session
    };

    /// The session of a member; null if it has none. Valid until the session ends.
    [[nodiscard]] session* find(policy::member_key member);
    /// Begins a session with the id that the member chose; it replaces an earlier one of the member.
    session& begin(policy::member_key member, std::uint64_t id, policy::time_point now);
    void clear() { m_sessions.clear(); }

    [[nodiscard]] bool is_empty() const noexcept { return m_sessions.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return m_sessions.size(); }
    /// Number of members that have sent a message since `time`.
    [[nodiscard]] std::size_t count_heard_since(policy::time_point time) const;
    [[nodiscard]] std::vector<policy::member_key> members() const;

    /// Appends grants and refusals to what is sent to a member next. Dropped if it has no session any more.
    void queue_decisions(policy::member_key member, const batch_items& decided);
    /// Appends a departure to what is sent to each member next.
    void queue_departure(const policy::departure& heard);
    /// Appends news about crashes to what is sent to each member next, except to the one that told them.
    void queue_crashes(const policy::crash_statement& news, policy::member_key source);
    /// Calls `send` for each session that may have datagrams to send.
    void flush(const std::function<void(policy::member_key, batch_channel&)>& send);

    [[nodiscard]] bool has_unacknowledged() const;
    /// Includes all sessions with unacknowledged batches in the next flush().
    void flush_unacknowledged();

    /// A member that has sent no message for too long.
    struct unresponsive_member {
        policy::member_key member = 0;
        policy::duration silent{};
    };
    /// Ends the sessions whose members have sent nothing for longer than `timeout`.
    [[nodiscard]] std::vector<unresponsive_member> end_unresponsive(policy::duration timeout,
                                                                    policy::time_point now);

private:
    std::map<policy::member_key, session> m_sessions;
    std::set<policy::member_key> m_to_flush; ///< members whose channels may have datagrams to send
};

} // namespace borageford::coordination
