// Tracks for how long the requests of one tier have been refused, and computes the retry delay for refused
// callers.
#pragma once

#include "policy/time.hpp"

#include <cstdint>

namespace borageford::policy {

/// A caller that retries during the same overload is refused again: it has waited for nothing and added load
/// for nothing. The duration of an overload can't be known, but one that has lasted for some time is likely
/// to last about as long again, so this is the retry delay. The delays are randomised so that the refused
/// callers don't all retry at the same time.
class overload_tracker {
public:
    /// Records that a request was refused.
    void record_refusal(time_point now) noexcept;

    /// The delay after which a refused caller should retry. `time_left` is the time until the caller's
    /// deadline; `draw` is a random number in [0, 1) that spreads the callers.
    [[nodiscard]] duration retry_after(duration time_left, double draw, time_point now) const noexcept;

private:
    time_point m_begin;                    ///< first refusal of the current overload
    time_point m_last = time_point::min(); ///< latest refusal; time_point::min(): none yet
};

} // namespace borageford::policy
