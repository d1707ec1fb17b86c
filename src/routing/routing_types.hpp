// The operators' configuration of requests that are proxied directly to backend servers: routes, services,
// workspaces and limits for callers.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::routing {

using std::chrono::milliseconds;

/// Whether a request may run more than once, and whether its answer is a stream.
enum class route_kind : std::uint8_t {
    idempotent,     ///< The request may run any number of times.
    non_idempotent, ///< The request runs at most once.
    /// The answer is a stream of events. The request runs at most once unless the route is resumable.
    stream,
};

/// A service that receives a fraction of a route's requests.
struct weighted_service {
    std::size_t service = 0; ///< index into the configuration's services
    double weight = 1;
};

/// Requests with a host and a path prefix, and how they are served.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with "/"
    std::vector<weighted_service> services;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false; ///< a broken stream may be continued by another backend server
    bool is_public = false;    ///< callers need no API key
    /// Maximum number of backend servers that may have run the same repeatable request. Servers that
    /// certainly didn't run it don't count; see policy::attempt_rule. A request that isn't repeatable isn't
    /// sent again once a server may have run it.
    unsigned attempts = 1;
    milliseconds timeout{30000};
    milliseconds latency_target{1000}; ///< time to the complete answer, or to a stream's first event
    milliseconds pause_target{0};      ///< target time between two events of a stream; 0: none
    int tier = 0;                      ///< 0 is the highest
    bool has_prompts = false;          ///< its requests list the parts of their prompts

    /// Whether a request that may have run already may be sent again.
    [[nodiscard]] bool may_repeat() const noexcept {
        return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
    }
};

/// Capacity of the model engines of a service.
struct engine_profile {
    unsigned slots = 1;             ///< requests that run concurrently in one batch
    std::uint64_t cache_tokens = 0; ///< tokens of prompts and answers that fit into the engine's memory
    unsigned tokens_per_event = 1;
};

/// Backend servers that serve the same requests.
struct service {
    std::string name;
    std::string health_path;
    /// connections that one backend server accepts from all gateways together; 0: unlimited
    unsigned connections = 0;
    std::optional<engine_profile> engine; ///< Nothing for a plain service, which has no model engine.
};

/// Unit in which a workspace's quota is counted.
enum class quota_unit : std::uint8_t { requests, tokens };

/// A customer, with its API keys and its quota.
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> tier; ///< takes precedence over the route's tier
    quota_unit unit = quota_unit::requests;
    double rate = 0;           ///< quota in units per second over all processes; 0: unlimited
    double burst = 0;          ///< units
    double default_tokens = 1; ///< tokens counted for a request that doesn't state its number of tokens
};

/// Limits of what callers may send and how long they may take.
struct caller_limits {
    std::size_t header_bytes = 16U * 1024;
    std::size_t body_bytes = 4U * 1024 * 1024;
    milliseconds header_time{3000}; ///< from the first byte of a request to the end of its header
    milliseconds idle_time{15000};  ///< for a connection without a request
};

/// One version of the routing configuration.
struct routing_document {
    std::uint64_t version = 0; ///< Increases with every change.
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    caller_limits limits;
};

} // namespace borageford::routing
