// Implements output_token_time as a moving average in which the weight of an answer depends on its length.
#include "policy/output_token_time.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Answers with fewer tokens are ignored: nearly all of their time passes before the first event, and the
/// time after the first event is too short to measure.
constexpr double min_tokens = 16;
/// An answer of this many tokens or more has the full weight `max_weight`; shorter answers have
/// proportionally less.
constexpr double full_weight_tokens = 400;
/// Weight of one long answer, so that about the last ten determine the average. A server's time per token
/// changes with what else it is working on.
constexpr double max_weight = 0.1;

} // namespace

void output_token_time::learn(double tokens, duration elapsed) noexcept {
    if (tokens < min_tokens || elapsed <= duration::zero()) {
        return;
    }
    const double measured = to_seconds(elapsed) / tokens;
    const double weight = max_weight * std::min(1.0, tokens / full_weight_tokens);
    m_seconds_per_token =
        m_seconds_per_token > 0 ? m_seconds_per_token + weight * (measured - m_seconds_per_token) : measured;
}

void output_token_time::adopt(double seconds_per_token) noexcept {
    if (m_seconds_per_token == 0 && seconds_per_token > 0) {
        m_seconds_per_token = seconds_per_token;
    }
}

duration output_token_time::expect(double tokens) const noexcept {
    return from_seconds(m_seconds_per_token * tokens);
}

} // namespace borageford::policy
