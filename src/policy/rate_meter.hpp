// Measures the rate at which work is done, in units per second, with exponentially decaying weights.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Counts only busy time, so that idle time doesn't lower the measured rate.
class rate_meter {
public:
    /// `memory`: time constant; measurements older than this weigh less than 1/e.
    explicit rate_meter(duration memory) noexcept;

    /// Records work done between the previous call and `now`. `was_busy`: whether there was any work to do in
    /// that time.
    void record(double units, bool was_busy, time_point now) noexcept;

    /// Units per second of busy time; 0 until measured.
    [[nodiscard]] double rate() const noexcept;

private:
    duration m_memory;
    time_point m_last{};
    bool m_has_last = false;
    // Sums that decay by the same factor with busy time; their quotient is the rate.
    double m_units = 0;
    double m_seconds = 0;
};

} // namespace borageford::policy
