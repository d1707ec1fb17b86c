// The metrics of a gateway about requests, most of them by workspace and tier.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/admitted_request.hpp"
#include "metrics/registry.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <string_view>

namespace borageford::gateway {

class gateway_metrics {
public:
    using duration = std::chrono::steady_clock::duration;

    explicit gateway_metrics(metrics::registry& registry) : m_registry(registry) {}

    /// Counts an answer of a backend server that was forwarded completely. `status` is the server's, `total`
    /// the time since the request's arrival.
    void count_answered(const admitted_request& request, unsigned status, duration total);
    /// Counts a request that the gateway answered with an error of its own. `request` is null if it wasn't
    /// admitted.
    void count_refused(const admitted_request* request, error_kind kind);
    /// Counts a stream that was aborted in the middle.
    void count_aborted(const admitted_request& request);
    /// Counts a stream that goes on after it broke off; see request_journal::resumed() for `known_by`.
    void count_resumed(const admitted_request& request, std::string_view known_by);
    /// Counts a caller that disconnected before the end of its answer.
    void count_abandoned(const admitted_request& request);
    /// Counts a connection that was ended since its caller reads too slowly.
    void count_slow_caller_cut(std::string_view reason);
    /// Counts a pause in the answer of a backend server, which waits for its caller to read.
    void count_paused_call();
    /// Counts one attempt at a backend server by its outcome.
    void count_attempt(const admitted_request& request, policy::slot_outcome outcome);

    /// Records the time from a request's arrival to a granted slot.
    void record_wait(const admitted_request& request, duration wait);
    /// Records the time from a request's arrival to the first event of its stream.
    void record_first_event(const admitted_request& request, duration time);

private:
    [[nodiscard]] metrics::histogram& timing(std::string_view name, std::string_view help,
                                             const admitted_request& request);

    metrics::registry& m_registry;
};

} // namespace borageford::gateway
