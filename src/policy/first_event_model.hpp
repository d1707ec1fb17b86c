// Estimates the time that one backend server needs from the start of a request to its first event, learned
// from finished requests.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A linear model of the time to the first event: a fixed time plus a time for each token of the prompt. Both
/// parameters differ between engines by up to a factor of three, and engines don't report them, so they can
/// only be learned from answers.
///
/// A request that waited inside the server for a slot measures the server's queue rather than its speed.
/// Therefore measured times above the line move the line less than times below it.
class first_event_model {
public:
    /// The expected time to the first event of a request with a prompt of `prompt_tokens` tokens, on a server
    /// that can start the request at once.
    [[nodiscard]] duration expect(double prompt_tokens) const noexcept;
    /// The part of expect() that is spent on processing the prompt. During this time the server processes no
    /// other prompt.
    [[nodiscard]] duration expect_prompt_processing(double prompt_tokens) const noexcept;

    /// Records the measured time from the start of a request to its first event.
    void learn(double prompt_tokens, duration first_event) noexcept;

    /// Takes over the parameters that another process learned from `samples` requests, in proportion to the
    /// samples on both sides. Has no effect once enough samples (10) were recorded here, or if `samples` is
    /// 0.
    void adopt(double fixed_ms, double ms_per_token, unsigned samples) noexcept;

    /// Time to the first event of an empty prompt, in milliseconds.
    [[nodiscard]] double fixed_ms() const noexcept { return m_fixed_ms; }
    /// Additional milliseconds for each token of the prompt.
    [[nodiscard]] double ms_per_token() const noexcept { return m_ms_per_token; }
    /// Number of requests that the parameters were learned from; 0 means that they are the initial values.
    [[nodiscard]] unsigned samples() const noexcept { return m_samples; }

private:
    // The initial values are optimistic: an unknown server is assumed to be fast, so that it gets requests
    // early and its parameters are learned early.
    double m_fixed_ms = 30;
    double m_ms_per_token = 0.02;
    unsigned m_samples = 0;
};

} // namespace borageford::policy
