// Implements first_event_model: fits its two parameters to measured times by stochastic gradient descent.
#include "policy/first_event_model.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

constexpr double ms_per_second = 1000;
/// Step sizes for a measured time below and above the line. With a ratio of three to one, the line settles
/// where about a quarter of the measured times lie below it.
constexpr double step_below = 0.15;
constexpr double step_above = 0.05;
/// The first samples have a larger step size, so that a few requests are enough for a usable estimate of a
/// new server.
constexpr unsigned early_samples = 10;
constexpr double early_factor = 3;
/// Prompt length in tokens by which prompts are scaled, so that both parameters converge at a similar rate.
/// Typical prompts have a few thousand tokens.
constexpr double typical_prompt_tokens = 2000;
constexpr double min_fixed_ms = 1;
constexpr double max_ms_per_token = 1;
/// Longer measured times are cut to this one, so that a single request that hung doesn't distort the line.
constexpr double max_first_event_ms = 5000;

duration from_ms(double ms) {
    return from_seconds(ms / ms_per_second);
}

} // namespace

duration first_event_model::expect(double prompt_tokens) const noexcept {
    return from_ms(m_fixed_ms + m_ms_per_token * prompt_tokens);
}

duration first_event_model::expect_prompt_processing(double prompt_tokens) const noexcept {
    return from_ms(m_ms_per_token * prompt_tokens);
}

void first_event_model::learn(double prompt_tokens, duration first_event) noexcept {
    const double measured = std::min(max_first_event_ms, to_seconds(first_event) * ms_per_second);
    const double error = measured - (m_fixed_ms + m_ms_per_token * prompt_tokens);
    const double scaled = std::min(4.0, prompt_tokens / typical_prompt_tokens);
    const double step =
        (error < 0 ? step_below : step_above) * (m_samples < early_samples ? early_factor : 1);
    const double norm = 1 + scaled * scaled;
    m_fixed_ms = std::max(min_fixed_ms, m_fixed_ms + step * error / norm);
    m_ms_per_token = std::clamp(m_ms_per_token + step * error * scaled / norm / typical_prompt_tokens, 0.0,
                                max_ms_per_token);
    ++m_samples;
}

void first_event_model::adopt(double fixed_ms, double ms_per_token, unsigned samples) noexcept {
    const auto reported = std::min(samples, early_samples);
    if (reported == 0 || m_samples >= early_samples) {
        return;
    }
    const double share = static_cast<double>(reported) / (reported + m_samples);
    m_fixed_ms += share * (std::max(min_fixed_ms, fixed_ms) - m_fixed_ms);
    m_ms_per_token += share * (std::clamp(ms_per_token, 0.0, max_ms_per_token) - m_ms_per_token);
    m_samples = std::min(m_samples + reported, early_samples);
}

} // namespace borageford::policy
