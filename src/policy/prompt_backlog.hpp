// Estimates how long one backend server will be busy with processing (reading) the prompts that were sent to
// it.
#pragma once

#include "policy/time.hpp"

namespace borageford::policy {

/// A server processes prompts one after the other, so a new prompt waits for all earlier ones. The processing
/// time of each prompt is only an estimate. If the estimates were just added up, their errors would grow with
/// every request, until a server that starts new answers at once would appear to be seconds behind. Requests
/// that could still meet their target would not be sent there, and its slots would stay empty until late
/// requests take them. A first event proves that its prompt and all earlier prompts have been processed, and
/// record_processed() uses this to discard the accumulated error.
class prompt_backlog {
public:
    /// Identifies a prompt by its position in the sequence of prompts: the sum of the estimated processing
    /// times of all prompts up to and including this one.
    using mark = duration;

    /// Records that a prompt with the estimated processing time `processing_time` was sent to the server at
    /// `now`. Returns the prompt's mark for record_processed().
    mark add(duration processing_time, time_point now) noexcept;
    /// Records that the server had finished processing the prompt with this mark at the time `at`.
    void record_processed(mark prompt, time_point at) noexcept;

    /// The expected wait before the server would start processing a prompt that is sent to it at `now`; zero
    /// if the server is idle.
    [[nodiscard]] duration wait(time_point now) const noexcept;

private:
    time_point m_expected_end; ///< expected time at which all prompts are processed
    duration m_total{};        ///< sum of the estimated processing times of all prompts
};

} // namespace borageford::policy
