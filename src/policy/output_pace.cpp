// One weighted average.
#include "policy/output_pace.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Shorter answers are mostly the first event, and what follows is too short to be timed.
constexpr double least_tokens = 16;
/// An answer of this many tokens moves the average by `most_weight`.
constexpr double telling_tokens = 400;
/// About the last ten long answers count: a server's pace changes with what else it runs.
constexpr double most_weight = 0.1;

} // namespace

void output_pace::learn(double tokens, duration took) noexcept {
    if (tokens < least_tokens || took <= duration::zero()) {
        return;
    }
    const double measured = to_seconds(took) / tokens;
    const double weight = most_weight * std::min(1.0, tokens / telling_tokens);
    m_seconds_per_token =
        m_seconds_per_token > 0 ? m_seconds_per_token + weight * (measured - m_seconds_per_token) : measured;
}

void output_pace::adopt(double seconds_per_token) noexcept {
    if (m_seconds_per_token == 0 && seconds_per_token > 0) {
        m_seconds_per_token = seconds_per_token;
    }
}

duration output_pace::expect(double tokens) const noexcept {
    return from_seconds(m_seconds_per_token * tokens);
}

} // namespace borageford::policy
