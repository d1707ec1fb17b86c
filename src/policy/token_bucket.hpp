// Token bucket: limits an average rate and allows bursts.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A bucket that fills at `rate` units per second up to `burst` units, and starts full.
///
/// Invariant: 0 <= level <= burst, except for a debt caused by charge().
class token_bucket {
public:
    token_bucket(double rate, double burst, time_point now) noexcept;

    /// Changes the rate and the burst. The level is kept, but doesn't exceed the new burst.
    void set_rate(double rate, double burst, time_point now) noexcept;

    /// Takes the amount if the level is sufficient, and returns whether it did.
    [[nodiscard]] bool try_take(double amount, time_point now) noexcept;

    /// Takes the amount even if the level becomes negative, for a cost that is known only afterwards. A
    /// negative amount is a refund.
    void charge(double amount, time_point now) noexcept;

    /// Time until the amount is available; `duration::max()` if it never will be.
    [[nodiscard]] duration time_until(double amount, time_point now) const noexcept;

    /// Current level; negative while in debt.
    [[nodiscard]] double level_at(time_point now) const noexcept;

private:
    double m_rate;
    double m_burst;
    double m_level;
    time_point m_updated;
};

} // namespace borageford::policy
