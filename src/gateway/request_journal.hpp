// Writes the log events of a request and updates its metrics, so that both are produced in one place.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/gateway_context.hpp"
#include "policy/attempt_rule.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Each member function writes one log event and updates the metrics that belong to it.
class request_journal {
public:
    using clock = std::chrono::steady_clock;

    explicit request_journal(gateway_context& context) : m_context(context) {}

    /// A server, for the log.
    struct named_server {
        std::string_view id;
        std::string_view software;
    };
    /// A slot was granted. `attempts_before` is the number of earlier attempts.
    void placed(const admitted_request& request, const policy::slot_grant& grant, const named_server& server,
                unsigned attempts_before);
    /// A stream that broke off goes on at a server. `known_by` tells how it is known which software version
    /// began it, `events` how many events of it were forwarded before in this answer.
    void resumed(const admitted_request& request, const named_server& server, std::string_view known_by,
                 std::uint64_t events);
    /// An attempt that failed, for the log.
    struct failed_attempt {
        policy::slot_outcome outcome = policy::slot_outcome::failed;
        std::string reason;
        clock::duration busy{}; ///< Since the slot was granted.
        /// How many requests were sent on its connection before; nothing if it wasn't sent.
        std::optional<std::size_t> sent_before = std::nullopt;
    };
    /// An attempt failed. `will_retry` is whether another attempt follows.
    void attempt_failed(const admitted_request& request, std::string_view backend,
                        const failed_attempt& attempt, const policy::attempt_rule& attempts, bool will_retry);
    /// The first event of the current attempt was received. Only updates a metric.
    void first_event(const admitted_request& request);
    /// Times of an answer as its caller experiences them.
    struct answer_times {
        clock::duration waited{}; ///< From the request's arrival to its first slot.
        /// From the request's last slot to the first event received there; 0 for a response without events.
        clock::duration first_event{};
        /// From the request's arrival to the first event or, without events, to the complete answer.
        clock::duration to_first{};
        clock::duration longest_pause{}; ///< The longest time between two events.
        std::uint64_t events = 0;
        bool ends_with_connection = false; ///< The server has sent neither a length nor chunks.
    };
    void answered(const admitted_request& request, std::string_view backend, unsigned status,
                  unsigned attempts, const answer_times& times);

    /// Details of a refused request, for the log.
    struct refusal {
        error_kind kind = error_kind::internal;
        std::string_view request_id;
        std::string_view reason;
        std::string_view host;
        std::string_view target;
        policy::slot_ticket ticket = 0; ///< 0: no slot was requested.
        unsigned attempts = 0;
        clock::time_point arrived;
        std::optional<std::chrono::milliseconds> retry_after;
    };
    /// The gateway answered with an error of its own. `request` is null if it wasn't admitted.
    void refused(const admitted_request* request, const refusal& what);
    /// A stream was aborted after `events` events.
    void aborted(const admitted_request& request, std::string_view reason, unsigned attempts,
                 std::uint64_t events);
    /// The caller disconnected before the end of its answer. `stage` is "running" or "waiting".
    void abandoned(const admitted_request& request, std::string_view stage, std::string_view backend,
                   std::uint64_t events);

private:
    /// Version of the configuration under which the request was admitted; without a request, the version in
    /// force.
    [[nodiscard]] std::uint64_t version_for(const admitted_request* request) const;

    gateway_context& m_context;
};

} // namespace borageford::gateway
