// Estimates how fast one backend server generates tokens after the first event of an answer, learned from its
// finished answers.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// Moving average of the time per output token over finished answers. Longer answers have more weight,
/// because a few tokens are too few for a good measurement.
class output_token_time {
public:
    /// Records a finished answer of `tokens` tokens; `elapsed` is the time from its first
    /// event to its end. Answers that are too short to measure are ignored.
    void learn(double tokens, duration elapsed) noexcept;

    /// Takes over a time per token (in seconds) that another process measured. Has no effect once a value is
    /// known here.
    void adopt(double seconds_per_token) noexcept;

    /// Average time per output token in seconds; 0 if unknown.
    [[nodiscard]] double seconds_per_token() const noexcept { return m_seconds_per_token; }
    /// The expected time for generating `tokens` tokens; zero if the time per token is unknown.
    [[nodiscard]] duration expect(double tokens) const noexcept;

private:
    double m_seconds_per_token = 0;
};

} // namespace borageford::policy
