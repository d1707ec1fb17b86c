// The rate at which something is worked off, in units a second, forgetting old measurements.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Counts only the time in which there was something to do, so that an idle hour doesn't read as slowness.
class rate_meter {
public:
    /// Measurements older than this weigh less than 1/e.
    explicit rate_meter(duration memory) noexcept;

    /// Work that was done between the previous call and now. `was_busy` says whether there was any to do.
    void record(double units, bool was_busy, time_point now) noexcept;

    /// Units a second; 0 until something was measured.
    [[nodiscard]] double rate() const noexcept;

private:
    duration m_memory;
    time_point m_last{};
    bool m_has_last = false;
    // Both decay with busy time by the same factor; their quotient is the rate.
    double m_units = 0;
    double m_seconds = 0;
};

} // namespace borageford::policy
