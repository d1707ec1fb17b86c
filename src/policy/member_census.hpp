// Among how many members the limits are divided that hold over all of them.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <map>

namespace borageford::policy {

/// Each process gives out its part of every limit, so counting too few members gives out too much. One that
/// fell silent is counted for a while longer, since it may only be cut off and still be giving out its part.
class member_census {
public:
    /// This process coordinates for a member.
    void note_served(member_key member, time_point now) { m_served[member] = now; }
    /// A coordinator has told how many members it counts, this process included.
    void note_told(std::size_t members, time_point now);

    /// Members that are known of, this process included.
    [[nodiscard]] std::size_t count() const noexcept;
    /// What a coordinator told last; 0: never, or long ago.
    [[nodiscard]] std::size_t told() const noexcept { return m_told; }

    /// The part of all limits that this process gives out as the coordinator of `attached` members, itself
    /// included.
    [[nodiscard]] double coordinators_share(std::size_t attached, time_point now);
    /// The part that it gives out on its own, hearing of so many members, itself included.
    [[nodiscard]] double own_share(std::size_t heard_of) const noexcept;

private:
    std::map<member_key, time_point> m_served; ///< when each was served last
    std::size_t m_told = 0;
    time_point m_told_at;
};

} // namespace borageford::policy
