// Counts the members among which the system-wide limits are divided.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <map>

namespace borageford::policy {

/// Number of members for dividing limits. Each process grants its share of every limit, so counting too few
/// members would exceed the limits. An unresponsive member is counted for a while longer, because it may only
/// be disconnected and still be granting its share.
class active_members {
public:
    /// Records that this process, as coordinator, serves a member.
    void record_served(member_key member, time_point now) { m_served[member] = now; }
    /// Records the number of members that a coordinator has reported, including this process; 0 is ignored.
    void record_reported_count(std::size_t members, time_point now);

    /// Number of known members, including this process.
    [[nodiscard]] std::size_t count() const noexcept;
    /// Number of members that a coordinator last reported; 0 when none has, or not for a long time.
    [[nodiscard]] std::size_t reported_count() const noexcept { return m_reported_count; }

    /// Share of all limits that this process may grant as the coordinator of `attached` members, including
    /// itself.
    [[nodiscard]] double coordinator_share(std::size_t attached, time_point now);
    /// Like coordinator_share(), for a process that has just become the coordinator: `known_members` that
    /// haven't attached yet may still be granting their shares.
    [[nodiscard]] double new_coordinator_share(std::size_t attached, std::size_t known_members,
                                               time_point now);
    /// Like coordinator_share(), for the rate limits that servers name. A coordinator that has found only a
    /// few of the `known_members` counts all of them: the others may have another coordinator.
    [[nodiscard]] double coordinator_rate_share(std::size_t attached, std::size_t known_members,
                                                time_point now);
    /// Share of the rate limits that servers name for this process without a coordinator. It ends a while
    /// after the last message of a coordinator, before that coordinator stops to reserve it.
    [[nodiscard]] double local_rate_share(std::size_t known_members, time_point now) const noexcept;
    /// Share of all limits that this process may grant without a coordinator. `known_members`: number of
    /// members that it knows, including itself.
    [[nodiscard]] double local_share(std::size_t known_members) const noexcept;

private:
    std::map<member_key, time_point> m_served; ///< When each member was last served.
    std::size_t m_reported_count = 0;
    time_point m_reported_at;
};

} // namespace borageford::policy
