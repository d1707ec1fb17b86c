// When the store last confirmed what a gateway holds of a table.
#pragma once

#include "policy/time.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

namespace borageford::policy {

/// A time of the store's own clock. A store that comes back from an older copy begins a new era, in which its
/// clock may stand anywhere.
struct store_moment {
    std::uint64_t era = 0;
    std::uint64_t milliseconds = 0; ///< 0: not told

    auto operator<=>(const store_moment&) const = default;
};

/// Gateways that hold the same version tell each other of confirmations, so that one that asks spares the
/// others the question. A confirmation is named by the store's own clock and counts once, however often it is
/// heard. Told as an age instead, it would come out newer by each message's way, and gateways that nobody
/// answers any more could keep each other believing for good.
class confirmation {
public:
    /// After `longest_gap` without a confirmation it isn't known whether the store was there meanwhile.
    explicit confirmation(time_point now, duration longest_gap = duration::max()) noexcept
        : m_longest_gap(longest_gap), m_noted(now), m_unbroken_since(now) {}

    /// The store answered a question of this gateway.
    void note_answer(store_moment answered, time_point now) noexcept {
        if (age(now) > m_longest_gap) {
            m_unbroken_since = now;
        }
        m_answered = std::max(m_answered, answered);
        m_noted = now;
    }

    /// The store refused a question, couldn't be reached, or came back from an older copy.
    void note_failure(time_point now) noexcept { m_unbroken_since = now; }

    /// Another gateway, which holds the same version, says that the store confirmed it then.
    void hear(store_moment answered, time_point now) noexcept {
        if (answered.milliseconds > 0 && answered > m_answered) {
            note_answer(answered, now);
        }
    }

    /// What is told to others: when the store confirmed it, while that is news, and nothing afterwards. A
    /// heartbeat that tells it is larger by a quarter.
    [[nodiscard]] store_moment news(time_point now) const noexcept {
        return age(now) <= news_life ? m_answered : store_moment{};
    }
    /// Since the last confirmation was noted here, or since the start.
    [[nodiscard]] duration age(time_point now) const noexcept { return now - m_noted; }
    /// When the last confirmation was noted here, or the start.
    [[nodiscard]] time_point noted_at() const noexcept { return m_noted; }
    /// For how long confirmations have come without a failure or a gap; zero while one is overdue.
    [[nodiscard]] duration unbroken(time_point now) const noexcept {
        return age(now) <= m_longest_gap ? now - m_unbroken_since : duration::zero();
    }

private:
    /// Some heartbeats, so that one may be lost.
    static constexpr std::chrono::milliseconds news_life{300};

    duration m_longest_gap;
    store_moment m_answered;
    time_point m_noted;
    time_point m_unbroken_since;
};

} // namespace borageford::policy
