// The data types for scheduling slots: requests, grants, refusals and releases.
#pragma once

#include "policy/member_key.hpp"
#include "policy/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace borageford::policy {

/// Hashes of names. Hashes are compared quickly and have a fixed size in messages. 0 means none.
using server_key = std::uint64_t;
using service_key = std::uint64_t;
using workspace_key = std::uint64_t;
using domain_key = std::uint32_t;   ///< hash of a failure domain's name
using software_key = std::uint64_t; ///< hash of the version of a backend server's software

/// The key of the failure domain with this name; 0 for an empty name.
[[nodiscard]] domain_key domain_key_of(std::string_view name) noexcept;

/// The key of a software version; also a server that reports none has one, that of the empty name.
[[nodiscard]] software_key software_key_of(std::string_view version) noexcept;

/// The id of a slot request, drawn by coordination::slot_broker::next_ticket(); see coordination::id_sequence
/// for how far ids differ.
using slot_ticket = std::uint64_t;

/// Number of distinct tiers of workspaces, and of routes. Higher tier numbers count as the lowest tier.
inline constexpr int max_tiers = 8;

/// Combines the tiers of a workspace and a route into one: the workspace's tier takes precedence, and the
/// route's tier orders requests of workspaces in the same tier. 0 is the highest tier.
[[nodiscard]] constexpr int combine_tiers(int of_workspace, int of_route) noexcept {
    return std::clamp(of_workspace, 0, max_tiers - 1) * max_tiers + std::clamp(of_route, 0, max_tiers - 1);
}

/// The route's tier in a combined tier, which ranks a request among those of its own workspace. This is the
/// `rank` of quota_tracker; the number of a combined tier, as in slot_scheduler, is another value.
[[nodiscard]] constexpr int rank_in_workspace(int tier) noexcept {
    return tier % max_tiers;
}

/// Expected cost of a request for a model engine, in tokens. Both values are 0 for a call to a service that
/// isn't a model engine.
struct token_cost {
    double prompt = 0;
    double output = 0;
};

/// A request that needs a slot of a backend server.
struct slot_request {
    static constexpr std::size_t max_avoided = 2; ///< capacity of `avoided`

    slot_ticket ticket = 0;
    service_key service = 0;
    workspace_key workspace = 0;
    member_key member = 0; ///< the process that holds the request; set by the process that grants slots
    domain_key domain = 0; ///< failure domain of the process that holds the request; 0: unknown
    int tier = 0;          ///< 0 is the highest
    time_point arrived;    ///< when the request arrived at its gateway
    time_point deadline;   ///< when the caller stops waiting for the answer
    duration target{}; ///< target for the time from the arrival to the first event, or to the complete answer
    token_cost cost;
    std::uint64_t fingerprint = 0; ///< hash of caller, target and body; 0: none
    double units = 0;              ///< cost in units of its workspace's quota
    bool is_charged = false;       ///< its units were already subtracted from the quota
    unsigned sends = 0;            ///< number of servers that it was already sent to
    bool is_counted = false;       ///< it was already counted as a request for the retry budget
    /// It may be sent to one more server if this one fails it; the process that grants also takes the retry
    /// budget into account.
    bool may_repeat = false;
    /// How often its caller's earlier requests with the same fingerprint were refused recently (see
    /// refusal_history). More than 0: a retried request, which its caller sends again after a refusal. A
    /// gateway's retries of a failed request at another server are counted in `sends` instead.
    unsigned previous_refusals = 0;
    /// It came back when its caller was told to (see return_ledger).
    bool is_promised = false;
    /// The software version that began the stream which the request resumes; 0: any server will do.
    software_key software = 0;
    /// The quarantined part of its prompt for which the request is a probe, as the key of a crash_suspect; 0:
    /// it is none.
    std::uint64_t probed_part = 0;
    /// It has found the memory of servers with a free slot too full; set by the process that grants slots.
    bool waits_for_memory = false;
    /// Servers that failed this request; 0 in unused places.
    std::array<server_key, max_avoided> avoided{};
};

/// Grants a slot of a server to a request.
struct slot_grant {
    slot_ticket ticket = 0;
    server_key server = 0;
};

/// Why a request is refused a slot.
enum class refusal_reason : std::uint8_t {
    overloaded,        ///< it can't be served within the maximum wait
    over_allowance,    ///< its workspace has used up its quota
    over_retry_budget, ///< too many requests of its service are being retried
    held_back,         ///< it is quarantined, because servers crashed while they ran it (crash_ledger)
    over_server_limit, ///< the rate limits of all servers of its service hold it back for too long
    servers_back_off,  ///< all servers of its service want no requests of its gateway for too long
    software_gone,     ///< no server of the software version that began its stream is left
    over_memory,       ///< the memory of the engines of its service had no room for it for too long
    return_promised,   ///< as `overloaded`; room is kept for it at the time at which it should come back
    no_slot_in_time,   ///< as `overloaded`; no room is expected for it before its deadline
    last_reason = no_slot_in_time
};

[[nodiscard]] std::string_view to_string(refusal_reason reason) noexcept;

/// The refusal of a slot request.
struct slot_refusal {
    slot_ticket ticket = 0;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{}; ///< delay after which the caller should retry
    /// The two values that were compared for the decision, for the coordinator's own log: seconds of waiting
    /// (overloaded, return_promised, no_slot_in_time, over_server_limit, servers_back_off), units of the
    /// quota (over_allowance) or retries in a window (over_retry_budget). They aren't sent to other
    /// processes.
    double needed = 0;
    double available = 0;
};

/// How a request at a backend server ended.
enum class slot_outcome : std::uint8_t {
    served,
    failed, ///< the server sent an answer that reports an error
    broken, ///< the connection broke, or the data received was no valid answer
    /// The request wasn't run, and this says nothing about the server's health. One of four cases: the server
    /// declined the request; the gateway doesn't know the server; the server is draining; or the grant was
    /// returned unused, because the request was withdrawn or already has another slot.
    refused,
    unreachable, ///< no connection could be opened
    abandoned,   ///< the caller left, or the deadline passed
    replaced,    ///< another server answers at its address, so the server is gone or has restarted
};

/// Whether this outcome proves that the server didn't run the request.
[[nodiscard]] constexpr bool has_not_run(slot_outcome outcome) noexcept {
    return outcome == slot_outcome::refused || outcome == slot_outcome::replaced ||
           outcome == slot_outcome::unreachable;
}

[[nodiscard]] std::string_view to_string(slot_outcome outcome) noexcept;

/// Reports that a request ended and released its slot.
struct slot_release {
    slot_ticket ticket = 0;
    server_key server = 0;
    slot_outcome outcome = slot_outcome::served;
    duration busy{};        ///< time from the request's start to its end
    duration first_event{}; ///< time from the request's start to its first event; 0: no event was received
    double output = 0;      ///< output tokens, as far as they can be counted from the events
};

} // namespace borageford::policy
