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

    /// Takes another process's word, as long as nothing is known here.
    void adopt(double seconds_per_token) noexcept;

    /// 0 while nothing is known.
    [[nodiscard]] double seconds_per_token() const noexcept { return m_seconds_per_token; }
    /// Zero while nothing is known.
    [[nodiscard]] duration expect(double tokens) const noexcept;

private:
    double m_seconds_per_token = 0;
};

} // namespace borageford::policy
