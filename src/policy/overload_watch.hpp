// How long the requests of one tier have been refused, and what to tell those that are refused now.
#pragma once

#include "policy/time.hpp"

#include <cstdint>

namespace borageford::policy {

/// A caller that comes back during the same overload is refused again: it has waited for nothing, and pressed
/// the servers for nothing. How long an overload lasts nobody knows; one that has lasted for long is expected
/// to last about as long again. Callers are spread around that time, so that they don't come back together.
class overload_watch {
public:
    void note_refusal(time_point now) noexcept;

    /// When to come back. `time_left` is what the caller still has; `draw` lies in [0, 1) and spreads the
    /// callers.
    [[nodiscard]] duration retry_after(duration time_left, double draw, time_point now) const noexcept;

private:
    time_point m_begin;
    time_point m_last = time_point::min();
};

} // namespace borageford::policy
