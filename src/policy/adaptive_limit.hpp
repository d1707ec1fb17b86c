// Adaptive concurrency limit of a sidecar for its model engine. It bounds the running sequences and the
// prompt tokens in prefill, and adjusts both bounds from the measured times to the first token and between
// tokens.
#pragma once

#include "policy/limit_controller.hpp"
#include "policy/time.hpp"

#include <cstdint>

namespace borageford::policy {

/// Latency targets that the limit is adjusted to, and the configured maximum of concurrent requests.
struct adaptive_limit_settings {
    /// Target time from the arrival of a request to its first output token.
    duration first_token_target = std::chrono::milliseconds(1100);
    /// Target time between two output tokens of one request.
    duration between_tokens_target = std::chrono::milliseconds(68);
    /// Fraction of `first_token_target` that the engine may use; the remaining time is left for waiting in
    /// the sidecar's queue. The fraction is small because an engine prefills no faster when more prompts wait
    /// inside it, and a prompt that waits inside the engine can't be overtaken by a request of a higher tier.
    double engine_share = 0.45;
    /// Fraction of `between_tokens_target` that the controller aims at. The controller regulates the 95th
    /// percentile over all sequences, and single requests lie above and below that percentile.
    double between_tokens_share = 0.85;
    /// Configured maximum of concurrent requests of the backend server.
    unsigned slots = 64;
};

/// A request that the limit has admitted. Pass it to adaptive_limit::release() when the request ends, however
/// it ends.
struct admission {
    /// Prompt tokens of this request that the engine has to prefill.
    std::uint64_t prefill_tokens = 0;
    /// Tokens of all requests in prefill right after this one was admitted, including its own. When this
    /// equals `prefill_tokens`, the request was alone in prefill and its first-token time isn't used as a
    /// sample: a smaller limit wouldn't have made it faster.
    std::uint64_t prefilling_tokens = 0;
    bool is_running = false;
    bool is_prefilling = false; ///< true only while `is_running` is true
};

/// Admits requests within two adaptive bounds: running sequences and tokens in prefill.
///
/// Invariants: a request is always admitted when none is running; a prompt of any length is always admitted
/// when no other prompt is in prefill and a sequence is free.
class adaptive_limit {
public:
    explicit adaptive_limit(adaptive_limit_settings settings);

    /// Whether a request with this many prompt tokens to prefill may start now.
    [[nodiscard]] bool has_room(std::uint64_t prefill_tokens) const noexcept;

    /// Counts a request as running and in prefill. The caller checks has_room() first.
    [[nodiscard]] admission admit(std::uint64_t prefill_tokens) noexcept;

    /// Records that the first token arrived, `elapsed` after the request was sent to the engine. Ends the
    /// prefill of the request.
    void record_first_token(admission& admitted, duration elapsed, time_point now);

    /// Records a sample of the time between two tokens of a running request.
    void record_between_tokens(duration elapsed, time_point now);

    /// Ends the prefill of a request without a sample. An answer that isn't streamed has no visible first
    /// token. Repeated calls have no effect.
    void end_prefill(admission& admitted) noexcept;

    /// Ends the request. Repeated calls have no effect.
    void release(admission& admitted) noexcept;

    /// Changes the configured maximum of concurrent requests; 0 counts as 1.
    void set_slots(unsigned slots) noexcept;

    [[nodiscard]] unsigned running() const noexcept { return m_running; }
    [[nodiscard]] std::uint64_t prefilling_tokens() const noexcept { return m_prefilling_tokens; }
    [[nodiscard]] unsigned sequence_limit() const noexcept;
    [[nodiscard]] std::uint64_t prefill_token_limit() const noexcept;

private:
    limit_controller m_sequences;
    limit_controller m_prefill;
    unsigned m_running = 0;
    unsigned m_prefilling = 0;             ///< Requests of `m_running` that are in prefill.
    std::uint64_t m_prefilling_tokens = 0; ///< Sum of `prefill_tokens` over the requests in prefill.
};

} // namespace borageford::policy
