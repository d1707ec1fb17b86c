// Tracks when the store last confirmed that a gateway's copy of a table is up to date.
#pragma once

#include "policy/time.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

namespace borageford::policy {

/// A time by the store's own clock. A store that is restored from an older copy starts a new era, in which
/// its clock may show any time.
struct store_moment {
    std::uint64_t era = 0;
    std::uint64_t milliseconds = 0; ///< 0: unknown

    auto operator<=>(const store_moment&) const = default;
};

/// The last confirmation that a gateway has of its copy of a table, received from the store or from another
/// gateway. Gateways with the same version announce confirmations to each other, so that one gateway's poll
/// makes polls by the other gateways unnecessary.
///
/// A confirmation is identified by the store's clock and counts only once, however often it is received. If
/// gateways announced its age instead, each message would make it appear newer by the delay of that message,
/// and gateways that the store no longer answers could confirm each other for ever.
class confirmation {
public:
    /// `longest_gap`: after this long without a confirmation it is unknown whether the store was available in
    /// between, so the span that unbroken() returns starts anew.
    explicit confirmation(time_point now, duration longest_gap = duration::max()) noexcept
        : m_longest_gap(longest_gap), m_confirmed_at(now), m_uninterrupted_since(now) {}

    /// The store has answered a poll of this gateway.
    void record_answer(store_moment answered, time_point now) noexcept {
        if (age(now) > m_longest_gap) {
            m_uninterrupted_since = now;
        }
        m_last_confirmation = std::max(m_last_confirmation, answered);
        m_confirmed_at = now;
    }

    /// The store refused a poll, couldn't be reached or was restored from an older copy.
    void record_failure(time_point now) noexcept { m_uninterrupted_since = now; }

    /// Another gateway with the same version has announced a confirmation. It is ignored unless it is newer
    /// than the last one known here.
    void record_announcement(store_moment answered, time_point now) noexcept {
        if (answered.milliseconds > 0 && answered > m_last_confirmation) {
            record_answer(answered, now);
        }
    }

    /// The confirmation to announce to other gateways: the last one while it is recent, and a zero
    /// `store_moment` afterwards. A heartbeat that carries a confirmation is larger by a quarter.
    [[nodiscard]] store_moment recent_confirmation(time_point now) const noexcept {
        return age(now) <= announcement_lifetime ? m_last_confirmation : store_moment{};
    }
    /// Time since the last confirmation was recorded here, or since the start if there was none.
    [[nodiscard]] duration age(time_point now) const noexcept { return now - m_confirmed_at; }
    /// When the last confirmation was recorded here, or the start if there was none.
    [[nodiscard]] time_point confirmed_at() const noexcept { return m_confirmed_at; }
    /// How long confirmations have arrived without a failure or a gap longer than `longest_gap`; zero while
    /// the next confirmation is overdue.
    [[nodiscard]] duration unbroken(time_point now) const noexcept {
        return age(now) <= m_longest_gap ? now - m_uninterrupted_since : duration::zero();
    }

private:
    /// Covers several heartbeats, so that the confirmation still arrives when one heartbeat is lost.
    static constexpr std::chrono::milliseconds announcement_lifetime{300};

    duration m_longest_gap;
    store_moment m_last_confirmation;
    time_point m_confirmed_at;
    time_point m_uninterrupted_since;
};

} // namespace borageford::policy
