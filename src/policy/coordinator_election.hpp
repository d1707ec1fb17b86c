// Which of the processes that hear each other coordinates. Pure: what was heard goes in, a choice comes out.
#pragma once

#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace borageford::policy {

/// Names a member; the same number in all processes.
using member_key = std::uint64_t;

/// What a member tells of itself.
struct member_claim {
    double processor_share = 1;
    bool is_acting = false;
    bool is_eligible = false;
    bool is_leaving = false;
};

struct election_limits {
    /// A member not heard for this long is passed over. Its processor may stand still for up to 100 ms when
    /// it has used up its share, and heartbeats come every 50 ms.
    duration silence = std::chrono::milliseconds(250);
    /// A process that has just started, or stood still, doesn't coordinate for this long: by then it knows
    /// the others, and they don't change back and forth with a process that keeps failing.
    duration probation = std::chrono::milliseconds(2000);
    /// A member that was silent for this long is asked rarely, and its place as a candidate goes to another.
    duration absence = std::chrono::milliseconds(1000);
    /// A process that has just started listens for so long before it coordinates without having heard
    /// anybody: else each restarted process took over for a moment from one that was known to all others.
    duration listening = std::chrono::milliseconds(250);
    /// A member that was named by others and isn't heard for so long is forgotten. Rumours of dead members
    /// end with the last that heard them, well within it.
    duration rumour_life = std::chrono::seconds(30);
    /// Candidates are few, so that heartbeats grow with the members and not with their square.
    std::size_t candidates = 3;
};

/// No agreement is needed for safety: two coordinators at once cost precision only, since limits that must
/// hold are divided by the members that each of them counts.
class coordinator_election {
public:
    /// Who coordinates for this process.
    enum class role { self, other, nobody };
    struct choice {
        role who = role::nobody;
        member_key member = 0;
    };

    coordinator_election(member_key self, double processor_share, election_limits limits, time_point now);

    /// A member exists, whether or not it has been heard.
    void add(member_key member, double processor_share);
    /// Another member names this one, which may be unknown here: a process is told three others at its start,
    /// and those may have been replaced long ago. Returns whether it is new.
    bool learn(member_key member, time_point now);
    void forget(member_key member);
    void hear(member_key member, const member_claim& claim, time_point now);

    /// To be called often; a gap between two calls means that this process stood still.
    void tick(time_point now);

    /// Whether this process coordinates now.
    void act(bool is_acting) noexcept { m_is_acting = is_acting; }
    /// This process is about to stop.
    void leave() noexcept { m_is_leaving = true; }
    [[nodiscard]] bool is_leaving() const noexcept { return m_is_leaving; }

    [[nodiscard]] choice choose(time_point now) const;
    [[nodiscard]] bool is_acting(time_point now) const { return choose(now).who == role::self; }
    [[nodiscard]] bool is_eligible(time_point now) const;

    /// Whether all others that know the same members send heartbeats to this process.
    [[nodiscard]] bool is_candidate(time_point now) const;
    /// Members to send heartbeats to: the first candidates that aren't absent.
    [[nodiscard]] std::vector<member_key> candidates(time_point now) const;
    /// Absent members that would be candidates, to be asked rarely whether they are back.
    [[nodiscard]] std::vector<member_key> absent(time_point now) const;

    /// Members to name to others: the one that is chosen, and the candidates that are heard.
    [[nodiscard]] std::vector<member_key> known(time_point now) const;

    /// All known members, this process included.
    [[nodiscard]] std::size_t member_count() const noexcept { return m_members.size() + 1; }
    [[nodiscard]] bool is_heard(member_key member, time_point now) const;
    /// Whether the member said last that it coordinates.
    [[nodiscard]] bool is_acting_member(member_key member) const;

private:
    struct member {
        double processor_share = 1;
        member_claim claim;
        time_point heard;
        bool was_heard = false;
        /// Set for one that was only named by others: it is forgotten when it isn't heard for a while.
        std::optional<time_point> learned;
    };

    /// A member with its place in the order of candidates; lower is better.
    struct ranked {
        long negative_share; ///< thousandths: what was sent as a shorter number must compare equal
        member_key key;
        auto operator<=>(const ranked&) const = default;
    };
    /// How fit a member is to coordinate, best first. One that leaves is still better than nobody: when all
    /// are restarted in turn, each may still be finishing a long stream when the last one is told to stop.
    enum class fitness : std::uint8_t { ready, fresh, leaving };
    /// A candidate's place in the choice; lower is better. Among equals who coordinates already goes on,
    /// since each change costs the requests that wait a moment.
    struct preference {
        fitness fit;
        long negative_share;
        bool is_idle;
        member_key key;
        auto operator<=>(const preference&) const = default;
    };

    [[nodiscard]] member& entry_of(member_key key);
    void set_share(member& entry, double processor_share);
    [[nodiscard]] const std::vector<ranked>& rank() const;
    [[nodiscard]] bool is_absent(const member& entry, time_point now) const;
    [[nodiscard]] fitness own_fitness(time_point now) const;
    [[nodiscard]] bool has_heard_anybody() const;

    member_key m_self;
    double m_processor_share;
    election_limits m_limits;
    time_point m_probation_begin;
    time_point m_last_tick;
    time_point m_started;
    bool m_is_acting = false;
    bool m_is_leaving = false;
    std::map<member_key, member> m_members; ///< without this process
    /// All members in the order of candidates, or empty when that has changed. A coordinator is asked for it
    /// at every heartbeat of every member; sorted anew each time, 300 members took all of a processor share
    /// of 0.19.
    mutable std::vector<ranked> m_order;
};

} // namespace borageford::policy
