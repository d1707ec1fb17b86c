// How long a question for changes may stay open at the store, and when it is asked once more.
#pragma once

#include "policy/follower_duty.hpp"
#include "policy/time.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

/// A question stays open while nothing changes, so a store that has lost it looks like one that is quiet.
/// What a gateway holds then grows old without a sign: a key that was taken away goes on working. So what is
/// held counts as confirmed only up to the last answer, and a gateway whose last answer is too old asks once
/// more, whatever is open.
///
/// All times follow from the one within which a change must be known everywhere.
class follower_pace {
public:
    /// `draw`: this gateway's own, in [0, 1), so that not all ask at the same moment.
    follower_pace(duration change_limit, double draw) noexcept
        : m_limit(std::max<duration>(change_limit, shortest_limit)), m_draw(draw) {}

    /// How long the next question may stay open; `age`: since what is held was confirmed.
    [[nodiscard]] duration wait(follower_duty duty, duration age) const noexcept {
        if (is_stale(duty, age)) {
            return duration::zero();
        }
        if (duty != follower_duty::confirm) {
            return longest_wait;
        }
        return std::clamp<duration>(m_limit / 2 - age, duration::zero(), longest_wait);
    }

    /// Whether what is held was confirmed too long ago to go on with it unasked.
    [[nodiscard]] bool is_stale(follower_duty duty, duration age) const noexcept {
        return age > (duty == follower_duty::confirm ? patience_of_confirming() : patience_of_others());
    }

    /// Whether it was confirmed so lately that others may go by it.
    [[nodiscard]] bool is_current(duration age) const noexcept { return age <= patience_of_confirming(); }

    /// After a question that is to be answered at once, until it is asked once more.
    [[nodiscard]] duration repeat_delay(follower_duty duty) const noexcept {
        const auto delay = m_limit / 4 + from_seconds(to_seconds(m_limit / 4) * m_draw);
        return is_relied_on(duty) ? delay : 3 * delay;
    }

    /// By then a question is answered that may stay open for `wait`, by a store that isn't silent.
    [[nodiscard]] duration answer_limit(duration wait) const noexcept { return wait + m_limit / 5; }

private:
    static constexpr std::chrono::milliseconds shortest_limit{500};
    /// Each question costs a call. The store takes no longer wait than 30 s.
    static constexpr std::chrono::seconds longest_wait{20};

    [[nodiscard]] duration patience_of_confirming() const noexcept { return m_limit * 7 / 10; }
    /// Longer, so that the confirming gateway's answer is heard before they ask for themselves.
    [[nodiscard]] duration patience_of_others() const noexcept {
        return m_limit * 17 / 20 + from_seconds(to_seconds(m_limit / 4) * m_draw);
    }

    duration m_limit;
    double m_draw;
};

} // namespace borageford::policy
