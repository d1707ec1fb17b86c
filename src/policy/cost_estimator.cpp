// Implements the estimates as moving averages and as quotients of exponentially decaying sums.
#include "policy/cost_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {
namespace {

constexpr std::size_t bytes_per_token = 4;
/// Ended requests before a mean is used as an estimate.
constexpr std::uint32_t min_output_samples = 5;
/// Smallest weight of a new sample in a mean.
constexpr double min_sample_weight = 0.05;
/// Shorter prefills aren't sampled.
constexpr std::uint64_t min_sampled_prefill_tokens = 64;
/// Factor by which the prefill sums decay with each sample.
constexpr double decay_per_prefill = 0.98;
constexpr double min_prefill_seconds = 0.001;
/// The steady rate is updated when the measured rate differs from it by more than this factor.
constexpr double steady_rate_factor = 1.5;
/// The steady rate stays 0 for this many samples, because the first few are noisy.
constexpr std::uint64_t min_steady_rate_samples = 6;
/// Key under which all pairs beyond `max_keys` are recorded; make_key() returns it only for two empty names.
constexpr std::string_view shared_key = "\n";
constexpr auto min_retry_after = std::chrono::milliseconds(500);
constexpr auto max_retry_after = std::chrono::milliseconds(60000);

} // namespace

std::uint32_t count_prompt_tokens(std::size_t bytes) noexcept {
    return static_cast<std::uint32_t>((bytes + bytes_per_token - 1) / bytes_per_token);
}

std::chrono::milliseconds retry_after(std::uint64_t tokens, double drain_rate, duration unmeasured) noexcept {
    using std::chrono::milliseconds;
    const double seconds = drain_rate > 0 ? static_cast<double>(tokens) / drain_rate : to_seconds(unmeasured);
    const double bounded = std::min(seconds, to_seconds(max_retry_after));
    const auto wait = milliseconds(static_cast<std::int64_t>(std::ceil(bounded * 1000)));
    return std::clamp<milliseconds>(wait, min_retry_after, max_retry_after);
}

cost_estimator::cost_estimator(duration memory) : m_output(memory) {}

void cost_estimator::record_output(std::string_view workspace, std::string_view route,
                                   std::uint32_t output_tokens) {
    auto key = make_key(workspace, route);
    if (m_outputs.size() >= max_keys && !m_outputs.contains(key)) {
        key = std::string(shared_key);
    }
    auto& known = m_outputs[key];
    ++known.count;
    const double weight = std::max(min_sample_weight, 1.0 / known.count);
    known.mean += weight * (output_tokens - known.mean);
}

std::uint32_t cost_estimator::expected_output(std::string_view workspace, std::string_view route,
                                              std::uint32_t unmeasured) const {
    const auto found = m_outputs.find(make_key(workspace, route));
    if (found == m_outputs.end() || found->second.count < min_output_samples) {
        return unmeasured;
    }
    return std::max(1U, static_cast<std::uint32_t>(std::lround(found->second.mean)));
}

void cost_estimator::record_prefill(std::uint64_t tokens, duration elapsed, time_point now) {
    if (tokens < min_sampled_prefill_tokens) {
        return; // such a time consists mostly of the transfer to the engine and back
    }
    const auto begun = std::max(now - elapsed, std::min(m_prefill_counted_until, now));
    m_prefill_counted_until = std::max(m_prefill_counted_until, now);
    m_prefill_tokens = decay_per_prefill * m_prefill_tokens + static_cast<double>(tokens);
    m_prefill_seconds = decay_per_prefill * m_prefill_seconds + to_seconds(now - begun);
    if (++m_prefill_samples < min_steady_rate_samples) {
        return;
    }
    const double rate = prefill_rate();
    const bool has_moved = rate > steady_rate_factor * m_steady_prefill_rate ||
                           rate * steady_rate_factor < m_steady_prefill_rate;
    if (has_moved) {
        m_steady_prefill_rate = rate;
    }
}

void cost_estimator::record_output_tokens(std::uint64_t tokens, bool was_busy, time_point now) {
    m_output.record(static_cast<double>(tokens), was_busy, now);
}

double cost_estimator::prefill_rate() const noexcept {
    return m_prefill_tokens / std::max(m_prefill_seconds, min_prefill_seconds);
}

std::string cost_estimator::make_key(std::string_view workspace, std::string_view route) {
    std::string key(workspace);
    key += '\n';
    key += route;
    return key;
}

} // namespace borageford::policy
