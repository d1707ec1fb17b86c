// What is told of one request: the lines of the log and the metrics, from one place.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/admitted_request.hpp"
#include "gateway/gateway_context.hpp"
#include "policy/attempt_rule.hpp"
#include "policy/slot_request.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace borageford::gateway {

class request_journal {
public:
    using clock = std::chrono::steady_clock;

    explicit request_journal(gateway_context& context) : m_context(context) {}

    void placed(const admitted_request& request, const policy::slot_grant& grant, std::string_view backend,
                unsigned tries_before);
    void try_failed(const admitted_request& request, std::string_view backend, policy::slot_outcome outcome,
                    std::string_view reason, const policy::attempt_rule& attempts, bool goes_on,
                    clock::duration busy);
    void first_event(const admitted_request& request);
    /// The times of an answer that count for its caller.
    struct answer_times {
        clock::duration waited{};      ///< from its arrival to the slot that it got first
        clock::duration first_event{}; ///< from its last slot to the first event there; zero for a plain call
        clock::duration to_first{};    ///< from its arrival to the first event, or the whole answer
        clock::duration longest_pause{}; ///< between two events
        std::uint64_t events = 0;
    };
    void answered(const admitted_request& request, std::string_view backend, unsigned status, unsigned tries,
                  const answer_times& times);

    /// What was known when a request was refused.
    struct refusal {
        error_kind kind = error_kind::internal;
        std::string_view request_id;
        std::string_view reason;
        std::string_view host;
        std::string_view target;
        policy::slot_ticket ticket = 0; ///< 0: it never asked for a slot
        unsigned tries = 0;
        clock::time_point arrived;
        std::optional<std::chrono::milliseconds> retry_after;
    };
    /// `request` is null when it wasn't admitted.
    void refused(const admitted_request* request, const refusal& what);
    void cut(const admitted_request& request, std::string_view reason, unsigned tries, std::uint64_t events);
    void abandoned(const admitted_request& request, std::string_view stage, std::string_view backend,
                   std::uint64_t events);

private:
    /// The version that it was admitted under, else the one in force.
    [[nodiscard]] std::uint64_t version_for(const admitted_request* request) const;

    gateway_context& m_context;
};

} // namespace borageford::gateway
