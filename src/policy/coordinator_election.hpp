// Chooses which of the member processes coordinates. The class does no input or output: heartbeats are passed
// in, and a choice is computed from them.
#pragma once

#include "policy/member_key.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace borageford::policy {

/// Status that a member reports about itself in its heartbeats.
struct member_status {
    double processor_share = 1;
    /// The member coordinates.
    bool is_acting = false;
    /// The member has passed its probation and isn't shutting down.
    bool is_eligible = false;
    /// The member is about to stop.
    bool is_leaving = false;
};

/// Timeouts of the election.
struct election_limits {
    /// A member that has sent no heartbeat for this long can't be chosen. Heartbeats are sent every 50 ms,
    /// and a process that has used up its processor quota may be suspended for up to 100 ms.
    duration response_timeout = std::chrono::milliseconds(250);
    /// A process that has just started or was suspended isn't eligible for this long. By then it knows the
    /// other members, and a process that keeps failing doesn't make them change the coordinator again and
    /// again.
    duration probation = std::chrono::milliseconds(2000);
    /// A member that has sent no heartbeat for this long counts as absent: it receives heartbeats rarely, and
    /// another member takes its place among the candidates.
    duration absence_timeout = std::chrono::milliseconds(1000);
    /// A process that has just started waits this long for a first heartbeat before it chooses itself.
    /// Without the wait, each restarted process briefly took over from a coordinator that all other members
    /// knew.
    duration initial_wait = std::chrono::milliseconds(250);
    /// A member that was learned from other members and has sent no heartbeat for this long is removed.
    /// Members name only candidates that sent them a heartbeat recently, so a dead member is no longer named
    /// well within this time.
    duration learned_member_timeout = std::chrono::seconds(30);
    /// Number of candidates. All members send heartbeats to the candidates only, so that the number of
    /// heartbeats grows linearly with the number of members and not with its square.
    std::size_t candidates = 3;
};

/// Computes this process's view of who coordinates. The members needn't agree for the limits to hold: two
/// coordinators at the same time only make the limits less precise, since limits that must hold are divided
/// by the number of members that each coordinator counts.
class coordinator_election {
public:
    /// Whether this process, another member or nobody coordinates, as this process sees it.
    enum class role { self, other, nobody };
    /// `member` is the coordinator's key when `who` isn't `nobody`.
    struct choice {
        role who = role::nobody;
        member_key member = 0;
    };

    coordinator_election(member_key self, double processor_share, election_limits limits, time_point now);

    /// Adds a member, which may not have sent a heartbeat yet, or updates its processor share.
    void add(member_key member, double processor_share);
    /// Adds a member that another member has named, and returns whether it was unknown here. A process is
    /// given only three members at its start, and these may have been replaced long ago.
    bool learn(member_key member, time_point now);
    /// Removes a member.
    void forget(member_key member);
    /// Records a heartbeat of a member.
    void record_heartbeat(member_key member, const member_status& status, time_point now);

    /// Restarts the probation after a suspension, and removes learned members that have timed out. To be
    /// called every 50 ms: a gap of more than 200 ms between two calls means that this process was suspended.
    void tick(time_point now);

    // Three statements about who coordinates, which may differ for a while: is_chosen() computes from the
    // current heartbeats whether this process should coordinate; set_acting() says whether it does; and
    // has_reported_acting() is what another member last said about itself.

    /// Sets whether this process acts as coordinator. choose() prefers the acting coordinator among equals.
    void set_acting(bool is_acting) noexcept { m_is_acting = is_acting; }
    /// Marks this process as about to stop.
    void leave() noexcept { m_is_shutting_down = true; }
    [[nodiscard]] bool is_leaving() const noexcept { return m_is_shutting_down; }

    /// Chooses among the first `election_limits::candidates` members that aren't absent. Returns
    /// `role::nobody` when none of them is responsive, or while this process waits for its first heartbeat.
    [[nodiscard]] choice choose(time_point now) const;
    /// Whether choose() returns this process, whether or not it acts as coordinator already.
    [[nodiscard]] bool is_chosen(time_point now) const { return choose(now).who == role::self; }
    /// Whether this process has passed its probation and isn't about to stop.
    [[nodiscard]] bool is_eligible(time_point now) const;

    /// Whether this process is a candidate, so that all other members with the same list of members send it
    /// heartbeats.
    [[nodiscard]] bool is_candidate(time_point now) const;
    /// Members to send heartbeats to: the other candidates, in order of preference.
    [[nodiscard]] std::vector<member_key> candidates(time_point now) const;
    /// Absent members that would be candidates if they were present. They are sent heartbeats rarely, to find
    /// out whether they are back.
    [[nodiscard]] std::vector<member_key> absent(time_point now) const;

    /// Members to name to other members: the candidates and the chosen coordinator.
    [[nodiscard]] std::vector<member_key> known(time_point now) const;

    /// Number of all known members, including this process.
    [[nodiscard]] std::size_t member_count() const noexcept { return m_members.size() + 1; }
    /// Whether the member has sent a heartbeat within `election_limits::response_timeout`.
    [[nodiscard]] bool is_responsive(member_key member, time_point now) const;
    /// Whether the member reported in its last heartbeat that it coordinates.
    [[nodiscard]] bool has_reported_acting(member_key member) const;

private:
    struct member {
        double processor_share = 1;
        member_status status;
        time_point last_heartbeat;
        bool has_sent_heartbeat = false;
        /// When the member was named by another member; nothing if it was added in another way. Such a member
        /// is removed after `election_limits::learned_member_timeout` without a heartbeat.
        std::optional<time_point> learned;
    };

    /// Sort key of a member in the order of candidates; lower is better.
    struct ranked {
        /// Negated share in thousandths: shares that were rounded for transmission must compare equal.
        long negative_share;
        member_key key;
        auto operator<=>(const ranked&) const = default;
    };
    /// Suitability as coordinator, best first. A member that is shutting down is still better than none: when
    /// all members are restarted one after another, each may still be finishing a long stream when the last
    /// one is told to stop.
    enum class fitness : std::uint8_t { ready, on_probation, leaving };
    /// Sort key of a candidate in the choice; lower is better. Among equals the acting coordinator is kept,
    /// since each change of the coordinator delays the waiting requests.
    struct preference {
        fitness fit;
        long negative_share;
        bool is_not_acting; ///< it doesn't act as coordinator now
        member_key key;
        auto operator<=>(const preference&) const = default;
    };

    [[nodiscard]] member& entry_of(member_key key);
    void set_share(member& entry, double processor_share);
    [[nodiscard]] const std::vector<ranked>& ordered_members() const;
    [[nodiscard]] bool is_absent(const member& entry, time_point now) const;
    [[nodiscard]] fitness own_fitness(time_point now) const;
    [[nodiscard]] bool has_received_heartbeat() const;

    member_key m_self;
    double m_processor_share;
    election_limits m_limits;
    time_point m_probation_begin;
    time_point m_last_tick;
    time_point m_started;
    bool m_is_acting = false;
    bool m_is_shutting_down = false;
    std::map<member_key, member> m_members; ///< All known members except this process.
    /// All members in the order of candidates; empty when the order must be computed again. A coordinator
    /// uses it for every heartbeat of every member. Sorting it each time took the complete processor share
    /// (0.19 of a processor) at 300 members.
    mutable std::vector<ranked> m_order;
};

} // namespace borageford::policy
