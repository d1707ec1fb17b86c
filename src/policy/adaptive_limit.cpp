// Uses one limit_controller for the running sequences, fed with times between tokens, and another one for the
// tokens in prefill, fed with first-token times.
#include "policy/adaptive_limit.hpp"

#include <algorithm>

namespace borageford::policy {
namespace {

constexpr double initial_sequences = 8;
constexpr double initial_prefill_tokens = 2048;
constexpr double minimum_prefill_tokens = 256;
constexpr double maximum_prefill_tokens = 1 << 20;
constexpr double first_token_quantile = 0.9;
constexpr std::size_t first_token_samples = 4;

limit_controller_settings sequence_settings(const adaptive_limit_settings& settings) {
    return {.initial = initial_sequences,
            .minimum = 1,
            .maximum = static_cast<double>(std::max(1U, settings.slots)),
            .target_seconds = settings.between_tokens_share * to_seconds(settings.between_tokens_target)};
}

limit_controller_settings prefill_settings(const adaptive_limit_settings& settings) {
    return {.initial = initial_prefill_tokens,
            .minimum = minimum_prefill_tokens,
            .maximum = maximum_prefill_tokens,
            .target_seconds = settings.engine_share * to_seconds(settings.first_token_target),
            .quantile = first_token_quantile,
            .samples = first_token_samples};
}

} // namespace

adaptive_limit::adaptive_limit(adaptive_limit_settings settings)
    : m_sequences(sequence_settings(settings)), m_prefill(prefill_settings(settings)) {}

bool adaptive_limit::has_room(std::uint64_t prefill_tokens) const noexcept {
    if (m_running >= sequence_limit()) {
        return false;
    }
    return m_prefilling == 0 || m_prefilling_tokens + prefill_tokens <= prefill_token_limit();
}

admission adaptive_limit::admit(std::uint64_t prefill_tokens) noexcept {
    ++m_running;
    ++m_prefilling;
    m_prefilling_tokens += prefill_tokens;
    return {.prefill_tokens = prefill_tokens,
            .prefilling_tokens = m_prefilling_tokens,
            .is_running = true,
            .is_prefilling = true};
}

void adaptive_limit::record_first_token(admission& admitted, duration elapsed, time_point now) {
    if (!admitted.is_prefilling) {
        return;
    }
    if (admitted.prefilling_tokens > admitted.prefill_tokens) {
        m_prefill.record(elapsed, static_cast<double>(admitted.prefilling_tokens), now);
    }
    end_prefill(admitted);
}

void adaptive_limit::record_between_tokens(duration elapsed, time_point now) {
    m_sequences.record(elapsed, m_running, now);
}

void adaptive_limit::release(admission& admitted) noexcept {
    if (!admitted.is_running) {
        return;
    }
    end_prefill(admitted);
    admitted.is_running = false;
    --m_running;
}

void adaptive_limit::set_slots(unsigned slots) noexcept {
    m_sequences.set_maximum(std::max(1U, slots));
}

unsigned adaptive_limit::sequence_limit() const noexcept {
    return std::max(1U, static_cast<unsigned>(m_sequences.limit()));
}

std::uint64_t adaptive_limit::prefill_token_limit() const noexcept {
    return static_cast<std::uint64_t>(m_prefill.limit());
}

void adaptive_limit::end_prefill(admission& admitted) noexcept {
    if (!admitted.is_prefilling) {
        return;
    }
    admitted.is_prefilling = false;
    --m_prefilling;
    m_prefilling_tokens -= admitted.prefill_tokens;
}

} // namespace borageford::policy
