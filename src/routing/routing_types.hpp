// What operators have configured for requests that are carried straight to backend servers: routes, services,
// workspaces and what callers may send.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::routing {

using std::chrono::milliseconds;

/// What may be repeated, and how the answer comes.
enum class route_kind : std::uint8_t {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< runs once at most
    stream,         ///< an answer of events; runs once at most unless the route is resumable
};

/// One of the services among which a route's requests are divided.
struct weighted_service {
    std::size_t service = 0; ///< index into the configuration's services
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with "/"
    std::vector<weighted_service> services;
    route_kind kind = route_kind::non_idempotent;
    bool is_resumable = false; ///< a broken stream may go on at another backend server
    bool is_public = false;    ///< needs no key
    unsigned attempts = 1;     ///< backend servers that one request may be sent to, at most
    milliseconds timeout{30000};
    milliseconds latency_target{1000}; ///< to the whole answer, or to a stream's first event
    milliseconds pause_target{0};      ///< between two events of a stream; 0: none
    int tier = 0;                      ///< 0 is the highest
    bool has_prompts = false;          ///< its requests tell the parts of their prompts

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] bool may_repeat() const noexcept {
        return kind == route_kind::idempotent || (kind == route_kind::stream && is_resumable);
    }
};

/// What the model engines behind a service can do.
struct engine_profile {
    unsigned slots = 1;             ///< requests that run together in one batch
    std::uint64_t cache_tokens = 0; ///< of prompts and answers that fit into memory
    unsigned tokens_per_event = 1;
};

struct service {
    std::string name;
    std::string health_path;
    unsigned connections = 0; ///< that one backend server takes from all callers together; 0: unlimited
    std::optional<engine_profile> engine; ///< nothing for a plain service
};

/// The unit in which a workspace's allowance is counted.
enum class allowance_unit : std::uint8_t { requests, tokens };

struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> tier; ///< goes before the route's
    allowance_unit unit = allowance_unit::requests;
    double rate = 0;         ///< units a second, over all processes; 0: unlimited
    double burst = 0;        ///< units
    double plain_tokens = 1; ///< counted for a request that doesn't tell its tokens
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::size_t header_bytes = 16U * 1024;
    std::size_t body_bytes = 4U * 1024 * 1024;
    milliseconds header_time{3000}; ///< from a request's first byte to the end of its head
    milliseconds idle_time{15000};  ///< a connection without a request
};

/// One version of all that, as the operator wrote it.
struct routing_document {
    std::uint64_t version = 0; ///< grows with every change
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<workspace> workspaces;
    caller_limits limits;
};

} // namespace borageford::routing
