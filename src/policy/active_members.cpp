// Keeps unresponsive members in the count for a limited time.
#include "policy/active_members.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

/// How long the share of an unresponsive member stays reserved: longer than the windows over which the limits
/// are evaluated (8 s and 10 s).
constexpr std::chrono::milliseconds share_reservation{12000};
/// How long a process uses its share of a server's rate limit after the last message of its coordinator. A
/// coordinator that has lost the process reserves the share from at most a second earlier on, for
/// share_reservation.
constexpr std::chrono::milliseconds local_rate_lease{10000};
/// Members that a process assumes when it has never received a count.
constexpr std::size_t assumed_members = 4;

} // namespace

void active_members::record_reported_count(std::size_t members, time_point now) {
    if (members > 0) {
        m_reported_count = members;
        m_reported_at = now;
    }
}

std::size_t active_members::count() const noexcept {
    return std::max(m_served.size() + 1, m_reported_count);
}

double active_members::coordinator_share(std::size_t attached, time_point now) {
    // While most members are unresponsive, it may well be this process that is disconnected, so no member is
    // removed from the count.
    if (attached * 2 > count()) {
        std::erase_if(m_served, [now](const auto& entry) { return now - entry.second > share_reservation; });
        m_reported_count = now - m_reported_at > share_reservation ? 0 : m_reported_count;
    }
    return std::min(1.0, static_cast<double>(attached) / static_cast<double>(count()));
}

double active_members::new_coordinator_share(std::size_t attached, std::size_t known_members,
                                             time_point now) {
    return std::min(coordinator_share(attached, now),
                    static_cast<double>(attached) / static_cast<double>(std::max(attached, known_members)));
}

double active_members::coordinator_rate_share(std::size_t attached, std::size_t known_members,
                                              time_point now) {
    return attached * 2 > known_members ? coordinator_share(attached, now)
                                        : new_coordinator_share(attached, known_members, now);
}

double active_members::local_rate_share(std::size_t known_members, time_point now) const noexcept {
    const bool is_reserved = m_reported_count > 0 && now - m_reported_at <= local_rate_lease;
    return is_reserved ? local_share(known_members) : 0;
}

double active_members::local_share(std::size_t known_members) const noexcept {
    const auto reported_count = m_reported_count > 0 ? m_reported_count : assumed_members;
    return 1.0 / static_cast<double>(std::max(reported_count, known_members));
}

} // namespace borageford::policy
