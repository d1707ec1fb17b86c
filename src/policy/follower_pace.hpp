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
        return std::clamp<duration>(share(between_confirmations) - age, duration::zero(), longest_wait);
    }

    /// Whether what is held was confirmed too long ago to go on with it unasked.
    [[nodiscard]] bool is_stale(follower_duty duty, duration age) const noexcept {
        const auto others_patience = share(others_least_patience) + drawn_share(others_patience_spread);
        return age > (duty == follower_duty::confirm ? share(confirming_patience) : others_patience);
    }

    /// Whether it was confirmed so lately that others may go by it.
    [[nodiscard]] bool is_current(duration age) const noexcept { return age <= longest_gap(); }

    /// Between two confirmations, for the store to have been there meanwhile as far as this gateway can tell.
    [[nodiscard]] duration longest_gap() const noexcept { return share(confirming_patience); }

    /// After a question that is to be answered at once, until it is asked once more.
    [[nodiscard]] duration repeat_delay(follower_duty duty) const noexcept {
        const auto delay = share(least_repeat_delay) + drawn_share(repeat_delay_spread);
        return is_relied_on(duty) ? delay : delay * repeat_factor_of_others;
    }

    /// By then a question is answered that may stay open for `wait`, by a store that isn't silent.
    [[nodiscard]] duration answer_limit(duration wait) const noexcept { return wait + share(answer_slack); }

private:
    static constexpr std::chrono::milliseconds shortest_limit{500};
    /// Each question costs a call. The store takes no longer wait than 30 s.
    static constexpr std::chrono::seconds longest_wait{20};

    // Parts of the limit, in hundredths of it.
    static constexpr int between_confirmations = 50;
    static constexpr int confirming_patience = 70;
    /// Longer than that of the confirming gateway, whose answer is to be heard before the others ask.
    static constexpr int others_least_patience = 85;
    static constexpr int others_patience_spread = 25;
    static constexpr int least_repeat_delay = 25;
    static constexpr int repeat_delay_spread = 25;
    static constexpr int answer_slack = 20;

    /// Those that nobody goes by may be hundreds, and press a store in trouble.
    static constexpr int repeat_factor_of_others = 3;

    [[nodiscard]] duration share(int hundredths) const noexcept { return m_limit * hundredths / 100; }
    [[nodiscard]] duration drawn_share(int hundredths) const noexcept {
        return from_seconds(to_seconds(share(hundredths)) * m_draw);
    }

    duration m_limit;
    double m_draw;
};

} // namespace borageford::policy
