// How long one backend server takes from a request's start to its first event, learned from what it did.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A line: a fixed time, and more for each token of the prompt. Engines differ threefold in both, and nothing
/// but their answers tells.
///
/// Requests that waited inside the server for a slot say more about the queue than about the server, so times
/// over the line move it less than times under it.
class first_event_model {
public:
    /// What a request with this prompt would take on a server that is free for it.
    [[nodiscard]] duration expect(double prompt_tokens) const noexcept;
    /// The part of that which the prompt alone takes, and in which the server reads nothing else.
    [[nodiscard]] duration expect_reading(double prompt_tokens) const noexcept;

    void learn(double prompt_tokens, duration first_event) noexcept;

    /// Takes another process's line, as long as little is known here.
    void adopt(double fixed_ms, double ms_per_token, unsigned samples) noexcept;

    [[nodiscard]] double fixed_ms() const noexcept { return m_fixed_ms; }
    [[nodiscard]] double ms_per_token() const noexcept { return m_ms_per_token; }
    [[nodiscard]] unsigned samples() const noexcept { return m_samples; }

private:
    // A server that nothing is known of counts as one that begins soon, so that it is tried and known early.
    double m_fixed_ms = 30;
    double m_ms_per_token = 0.02;
    unsigned m_samples = 0;
};

} // namespace borageford::policy
