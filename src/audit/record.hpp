// An audit record: one decision about one request, kept for auditors. Records never contain prompts or
// answers.
#pragma once

#include "base/error_kind.hpp"
#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// What was decided or happened. The comments name the process that records the event. An entry offers a
/// request to the sidecars of several backend servers and starts it at one that grants the offer.
enum class event : std::uint8_t {
    received,   ///< entry: received a request from a caller
    offered,    ///< entry: offered the request to a backend server
    queued,     ///< sidecar: put the offer into its queue
    refused,    ///< sidecar: refused the offer; entry: refused the request
    pushed_out, ///< sidecar: dropped the offer from its queue for a request of a higher tier
    granted,    ///< sidecar: has capacity now and granted the offer
    withdrawn,  ///< sidecar: the entry withdrew the offer because it started the request elsewhere
    lapsed,     ///< sidecar: the grant expired because the entry didn't start the request in time
    started,    ///< entry: sent the start message; sidecar: sent the request to its backend server
    attached,   ///< a caller was attached to the answer of a dispatch that was running or had finished
    ended,      ///< sidecar: the dispatch ended
    answered,   ///< entry: sent the complete answer to the caller
    failed,     ///< entry: sent an error to the caller; the request ran or may have run
    cancelled,  ///< entry: the caller disconnected; sidecar: cancelled a dispatch that nobody waited for
    claimed,    ///< entry: claimed the idempotency key in the table
    gap,        ///< records were lost; `detail` says how many
};

/// The event's name in batches.
[[nodiscard]] std::string_view to_string(event what) noexcept;
/// The event with this name; nothing if there is none.
[[nodiscard]] std::optional<event> find_event(std::string_view name) noexcept;

/// One decision, made by an entry or a sidecar.
struct record {
    std::chrono::system_clock::time_point time = std::chrono::system_clock::now();
    event what = event::received;
    request_id request;
    dispatch_id dispatch; ///< the attempt at one backend server; none if the event concerns no single attempt
    std::string workspace;
    unsigned tier = 0;                ///< rank of the tier; 0 is the highest
    std::string target;               ///< model or service
    std::string backend_server;       ///< empty if the event concerns no single backend server
    std::uint64_t revision = 0;       ///< revision of the configuration by which the decision was made
    std::optional<error_kind> reason; ///< for refusals and failures
    std::string detail;               ///< a few words on what caused the decision
};

/// Sorts by time; records with the same time keep their order.
void sort_by_time(std::vector<record>& records);

} // namespace borageford::audit
