// Schedules the long polls of the store: how long the store may hold one open, and when to poll again.
#pragma once

#include "policy/poll_role.hpp"
#include "policy/time.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

/// Poll schedule of a gateway for one table. The store holds a poll open while nothing changes, so a store
/// that has lost the poll looks the same as one without changes. The gateway's copy would then become
/// outdated unnoticed, and, for example, a revoked key would stay valid. Therefore the copy counts as
/// confirmed only up to the last answer, and a gateway whose last answer is too old polls again although a
/// poll is open.
///
/// All times are fractions of the limit within which every gateway must know of a change.
class poll_schedule {
public:
    /// `change_limit`: time within which every gateway must know of a change. `draw`: random number of this
    /// gateway in [0, 1), which keeps the gateways from polling all at the same moment.
    poll_schedule(duration change_limit, double draw) noexcept
        : m_change_limit(std::max<duration>(change_limit, min_change_limit)), m_draw(draw) {}

    /// How long the store may hold the next poll open. `age`: time since the gateway's copy was last
    /// confirmed.
    [[nodiscard]] duration wait(poll_role role, duration age) const noexcept {
        if (is_stale(role, age)) {
            return duration::zero();
        }
        if (role != poll_role::confirmer) {
            return max_wait;
        }
        return std::clamp<duration>(share(confirmation_interval) - age, duration::zero(), max_wait);
    }

    /// Whether the last confirmation is so old that the gateway must poll before it relies on its copy any
    /// longer.
    [[nodiscard]] bool is_stale(poll_role role, duration age) const noexcept {
        const auto timeout_if_relied_on = share(min_timeout) + random_share(timeout_spread);
        const auto timeout_of_others = share(min_timeout_of_others) + random_share(timeout_spread_of_others);
        return age > (is_relied_on(role) ? timeout_if_relied_on : timeout_of_others);
    }

    /// How often to check whether a poll has to be repeated.
    [[nodiscard]] duration check_period() const noexcept { return share(check_interval); }

    /// Whether the last confirmation is recent enough for other gateways to rely on it.
    [[nodiscard]] bool is_current(duration age) const noexcept { return age <= longest_gap(); }

    /// Longest time between two confirmations for which the store counts as continuously available.
    [[nodiscard]] duration longest_gap() const noexcept { return share(longest_gap_share); }

    /// How long to wait for the answer to a poll that the store should answer at once before polling again.
    [[nodiscard]] duration repeat_delay(poll_role role) const noexcept {
        const auto delay = share(min_repeat_delay) + random_share(repeat_delay_spread);
        return is_relied_on(role) ? delay : delay * repeat_factor_of_others;
    }

    /// Timeout of a poll that the store may hold open for `wait`.
    [[nodiscard]] duration answer_limit(duration wait) const noexcept { return wait + share(answer_slack); }

private:
    static constexpr std::chrono::milliseconds min_change_limit{500};
    /// Longest time for which a poll is held open. Longer polls cost fewer calls; the store accepts at most
    /// 30 s.
    static constexpr std::chrono::seconds max_wait{20};

    // Fractions of the limit, in hundredths.
    static constexpr int confirmation_interval = 50;
    static constexpr int longest_gap_share = 70;
    /// Timeout of the gateways that others rely on. It is longer than `confirmation_interval` by the time in
    /// which the confirming gateway's announcement arrives. With the next check and the answer it still ends
    /// within `longest_gap_share`: otherwise every loss of the confirming gateway would look like an
    /// interruption of the store, and servers that shut down soon afterwards would be retained.
    static constexpr int min_timeout = 60;
    static constexpr int timeout_spread = 2;
    static constexpr int check_interval = 4;
    /// Longer than `longest_gap_share`: the answer to another gateway's poll should arrive at these gateways
    /// before they poll.
    static constexpr int min_timeout_of_others = 85;
    static constexpr int timeout_spread_of_others = 25;
    static constexpr int min_repeat_delay = 25;
    static constexpr int repeat_delay_spread = 25;
    static constexpr int answer_slack = 20;

    /// Gateways that no others rely on may number hundreds and could overload a store in trouble, so they
    /// poll again more slowly.
    static constexpr int repeat_factor_of_others = 3;

    [[nodiscard]] duration share(int hundredths) const noexcept { return m_change_limit * hundredths / 100; }
    [[nodiscard]] duration random_share(int hundredths) const noexcept {
        return from_seconds(to_seconds(share(hundredths)) * m_draw);
    }

    duration m_change_limit;
    double m_draw;
};

} // namespace borageford::policy
