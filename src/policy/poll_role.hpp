// Chooses which gateways poll the store for changes and which learn of changes from other gateways. Every
// gateway has a gateway::store_follower for each table that it copies, whatever its role: the role decides
// whether and how often the store_follower polls.
#pragma once

#include "policy/time.hpp"

#include <chrono>
#include <cstddef>

namespace borageford::policy {

/// Role of a gateway for a table of the store. In every role the gateway reads all rows at its start.
enum class poll_role {
    /// All other gateways receive announcements from this gateway. It polls often, so that the store confirms
    /// the known version.
    confirmer,
    /// Other gateways depend on this gateway too. It polls, but less often than the confirmer while nothing
    /// changes, and polls again soon when an answer is missing.
    poller,
    /// The gateway doesn't poll. Announcements arrive from a gateway that the store answers, and report all
    /// changes.
    passive,
    /// No such announcements arrive. The gateway polls for itself, but not so often that hundreds of gateways
    /// overload a store in trouble.
    fallback,
};

/// Whether other gateways depend on the announcements of a gateway with this role.
[[nodiscard]] constexpr bool is_relied_on(poll_role role) noexcept {
    return role == poll_role::confirmer || role == poll_role::poller;
}

/// Chooses the role of this gateway. Some gateways poll the store and announce which versions exist to all
/// others. If every gateway polled, each change of a server would cost one call per gateway, and an outage
/// would cost each gateway several calls per second.
///
/// The candidates of coordinator_election poll, since all other gateways send them heartbeats. That isn't
/// enough: the store may stop answering just these few gateways, whose open polls look the same as if nothing
/// changed, and no gateway would learn, for example, that a key was revoked. So some other gateways poll as
/// well, each chosen by its own random draw. The coordinator receives heartbeats from every member, so what
/// one of them learns soon reaches all.
class poll_role_choice {
public:
    /// `others`: mean number of gateways besides the candidates that poll. `draw`: random number of this
    /// gateway in [0, 1).
    poll_role_choice(double others, double draw) noexcept : m_mean_pollers(others), m_draw(draw) {}

    /// An announcement arrived from a gateway that polls and that the store answers.
    void record_announcement(time_point now) noexcept { m_last_announcement = now; }

    /// Returns the role at this time. `is_candidate`: all other gateways send heartbeats to this one.
    /// `members`: number of members that the coordinator counts; 0 when unknown, in which case this gateway
    /// polls.
    [[nodiscard]] poll_role choose(bool is_candidate, std::size_t members, time_point now) const noexcept {
        if (is_candidate || m_draw * static_cast<double>(members) < m_mean_pollers) {
            return poll_role::poller;
        }
        const bool has_recent_announcement =
            m_last_announcement != time_point::min() && now - m_last_announcement <= announcement_timeout;
        return has_recent_announcement ? poll_role::passive : poll_role::fallback;
    }

private:
    /// Timeout of announcements. Each candidate announces several times within it, so losing one candidate
    /// isn't mistaken for losing all.
    static constexpr std::chrono::milliseconds announcement_timeout{1000};

    double m_mean_pollers;
    double m_draw;
    time_point m_last_announcement = time_point::min();
};

} // namespace borageford::policy
