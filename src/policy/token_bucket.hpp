// A rate with a burst.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Invariant: 0 <= level <= burst, but for a debt that charge() may leave.
class token_bucket {
public:
    token_bucket(double rate, double burst, time_point now) noexcept;

    /// Changes the rate and the burst and keeps the level, bounded by the new burst.
    void set_rate(double rate, double burst, time_point now) noexcept;

    /// Takes the amount when all of it is there.
    [[nodiscard]] bool try_take(double amount, time_point now) noexcept;

    /// Takes the amount in any case, into debt when need be: for a cost that is known only afterwards.
    void charge(double amount, time_point now) noexcept;

    /// When the amount will be there, from now on; `duration::max()` when it never will.
    [[nodiscard]] duration time_until(double amount, time_point now) const noexcept;

    /// What is there now; negative while in debt.
    [[nodiscard]] double level_at(time_point now) const noexcept;

private:
    double m_rate;
    double m_burst;
    double m_level;
    time_point m_updated;
};

} // namespace borageford::policy
