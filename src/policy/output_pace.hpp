// How fast one backend server produces an answer once it has begun, learned from what it did.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Time for one token of output: a moving average over finished answers, in which long ones count for more,
/// since a few tokens say little.
class output_pace {
public:
    /// An answer of so many tokens took this long from its first event to its end.
    void learn(double tokens, duration took) noexcept;

    /// Zero while nothing is known.
    [[nodiscard]] duration expect(double tokens) const noexcept;

private:
    double m_seconds_per_token = 0;
};

} // namespace borageford::policy
