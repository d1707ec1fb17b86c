// How many requests a sidecar lets into its engine: running sequences and prompt tokens being prefilled,
// found from measured first-token and between-token times against their targets.
#pragma once

#include "policy/limit_controller.hpp"
#include "policy/time.hpp"

#include <cstdint>

namespace borageford::policy {

struct adaptive_limit_settings {
    duration first_token_target = std::chrono::milliseconds(1100);
    duration between_tokens_target = std::chrono::milliseconds(68);
    /// The part of the first-token target that the engine may use; the rest is for the queue. Small,
    /// because an engine prefills no faster with more prompts waiting inside it, and what waits inside
    /// it can't be overtaken by a higher tier.
    double engine_share = 0.45;
    /// The part of the between-tokens target that the controller steers for: it holds the 95th percentile
    /// over all sequences, and single requests lie on both sides of it.
    double between_tokens_share = 0.85;
    /// Requests at once at most, as configured for the backend server.
    unsigned slots = 64;
};

/// One request that was let in. Give it back with release(), whatever became of the request.
struct admission {
    std::uint64_t prefill_tokens = 0;
    /// All that was being prefilled once it was let in, itself included. When that was itself alone, its
    /// first-token time says nothing about the limit: no smaller limit would have helped.
    std::uint64_t prefilling_tokens = 0;
    bool is_running = false;
    bool is_prefilling = false; ///< only while it is running
};

/// Invariants: one request is always let in when none runs; one prompt is always let in when none is being
/// prefilled and a sequence is free, however long it is.
class adaptive_limit {
public:
    explicit adaptive_limit(adaptive_limit_settings settings);

    /// Whether a request with this many tokens to prefill may start now.
    [[nodiscard]] bool has_room(std::uint64_t prefill_tokens) const noexcept;

    /// Counts it as running and being prefilled.
    [[nodiscard]] admission admit(std::uint64_t prefill_tokens) noexcept;

    /// Its first token came, `elapsed` after it was sent to the engine.
    void record_first_token(admission& admitted, duration elapsed, time_point now);

    /// Time between two of its later tokens.
    void record_between_tokens(duration elapsed, time_point now);

    /// Its prefill counts as done without a sample: an answer that isn't streamed shows no first token.
    /// Harmless when repeated.
    void end_prefill(admission& admitted) noexcept;

    /// Counts it as gone. Harmless when repeated.
    void release(admission& admitted) noexcept;

    /// The configured number of requests at once has changed.
    void set_slots(unsigned slots) noexcept;

    [[nodiscard]] unsigned running() const noexcept { return m_running; }
    [[nodiscard]] std::uint64_t prefilling_tokens() const noexcept { return m_prefilling_tokens; }
    [[nodiscard]] unsigned sequence_limit() const noexcept;
    [[nodiscard]] std::uint64_t prefill_token_limit() const noexcept;

private:
    limit_controller m_sequences;
    limit_controller m_prefill;
    unsigned m_running = 0;
    unsigned m_prefilling = 0;             ///< of m_running
    std::uint64_t m_prefilling_tokens = 0; ///< of those
};

} // namespace borageford::policy
