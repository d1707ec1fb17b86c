// When the store last confirmed what a gateway holds of a table.
#pragma once

#include "policy/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace borageford::policy {

/// Gateways that hold the same version tell each other of confirmations, so that one that asks spares the
/// others the question. A confirmation is named by the store's own clock and counts once, however often it is
/// heard. Told as an age instead, it would come out newer by each message's way, and gateways that nobody
/// answers any more could keep each other believing for good.
class confirmation {
public:
    /// After `longest_gap` without a confirmation it isn't known whether the store was there meanwhile.
    explicit confirmation(time_point now, duration longest_gap = duration::max()) noexcept
        : m_longest_gap(longest_gap), m_noted(now), m_unbroken_since(now) {}

    /// The store answered a question of this gateway; `store_time`: milliseconds of its clock, 0: not told.
    void note_answer(std::uint64_t store_time, time_point now) noexcept {
        if (age(now) > m_longest_gap) {
            m_unbroken_since = now;
        }
        m_store_time = std::max(m_store_time, store_time);
        m_noted = now;
    }

    /// The store refused a question, or couldn't be reached.
    void note_failure(time_point now) noexcept { m_unbroken_since = now; }

    /// Another gateway, which holds the same version, says that the store confirmed it then.
    void hear(std::uint64_t store_time, time_point now) noexcept {
        if (store_time > m_store_time) {
            note_answer(store_time, now);
        }
    }

    /// The store's clock at the last confirmation, in milliseconds; 0: not known.
    [[nodiscard]] std::uint64_t store_time() const noexcept { return m_store_time; }
    /// What is told to others: the same while it is news, 0 afterwards. A heartbeat that tells it is larger
    /// by a quarter.
    [[nodiscard]] std::uint64_t news(time_point now) const noexcept {
        return age(now) <= news_life ? m_store_time : 0;
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
    std::uint64_t m_store_time = 0;
    time_point m_noted;
    time_point m_unbroken_since;
};

} // namespace borageford::policy
