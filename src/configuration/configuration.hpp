// One revision of the configuration, parsed from the operators' intent file into typed values. A revision is
// immutable after parsing; request handling reads it through a shared pointer from configuration_follower.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::configuration {

/// Number of a revision. Each accepted change gets the next number; 0 means that no configuration is known.
using revision_number = std::uint64_t;

/// A priority class of requests with its latency targets. Rank 0 is the highest tier.
struct tier {
    std::string name;
    unsigned rank = 0;
    std::chrono::milliseconds first_token_target{1100};
    std::chrono::milliseconds between_tokens_target{68};
};

/// A customer: its API keys, the highest tier it may use and its rate limits.
struct workspace {
    std::string name;
    std::vector<std::string> key_hashes; ///< SHA-256 of each API key, lower-case hexadecimal
    std::string tier;                    ///< highest tier that the workspace may use
    double requests_per_second = 0;      ///< of the whole system, divided among live entries; 0: no limit
    double request_burst = 0;            ///< in requests; 0: what requests_per_second allows in one second
    double tokens_per_second = 0;        ///< 0: no limit
    unsigned concurrent_requests = 0;    ///< 0: no limit
};

/// A model that engines can serve.
struct model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    unsigned context_tokens = 32768;
    unsigned expected_output_tokens = 200; ///< per answer; used until enough answers have been measured
};

/// A service that isn't a model; backend servers of kind `service` run it.
struct service {
    std::string name;
};

enum class backend_kind : std::uint8_t { engine, service };

/// A server that executes requests. A sidecar process runs next to each of them.
struct backend_server {
    std::string name;
    backend_kind kind = backend_kind::engine;
    std::string failure_domain;
    std::vector<std::string> models;   ///< models that an engine serves; empty for kind `service`
    std::vector<std::string> services; ///< services that the server runs; empty for kind `engine`
    std::vector<std::string> adapters;
    std::string role;            ///< role in the engine's own terms; empty: the engine keeps its current role
    unsigned slots = 16;         ///< maximum number of concurrent requests
    bool checks_fencing = false; ///< the engine refuses orders with an outdated fencing number
    bool drained = false;        ///< set by an operator: the server gets no new requests
};

/// Lets a workspace and some tiers use a model or a service.
struct route {
    std::string name;
    std::string workspace;          ///< workspace name; "*": every workspace
    std::vector<std::string> tiers; ///< empty: every tier
    std::string model;              ///< model name; "*": every model; empty: the route is for a service
    std::string service;            ///< service name; "*": every service; empty: the route is for a model
    bool idempotent = true;         ///< whether its requests may be executed more than once
};

/// All objects of one revision. Invariants: names are unique among objects of the same kind, and every object
/// that another one refers to by name exists.
struct configuration {
    revision_number revision = 0;
    std::string text;                        ///< intent file as the operator confirmed it
    std::vector<std::uint8_t> deflated_text; ///< `text` compressed, ready to be sent to peers
    std::vector<tier> tiers;
    std::vector<workspace> workspaces;
    std::vector<model> models;
    std::vector<service> services;
    std::vector<backend_server> backend_servers;
    std::vector<route> routes;

    [[nodiscard]] bool is_empty() const noexcept { return revision == 0; }
    [[nodiscard]] const tier* find_tier(std::string_view name) const noexcept;
    [[nodiscard]] const workspace* find_workspace(std::string_view name) const noexcept;
    [[nodiscard]] const workspace* find_workspace_by_key_hash(std::string_view hash) const noexcept;
    [[nodiscard]] const model* find_model(std::string_view name) const noexcept;
    [[nodiscard]] const service* find_service(std::string_view name) const noexcept;
    [[nodiscard]] const backend_server* find_backend_server(std::string_view name) const noexcept;
    /// Returns the first route, in the order of the intent file, that lets this workspace and tier use the
    /// target (a service's name if `is_service`, else a model's); null when no route does.
    [[nodiscard]] const route* find_route(std::string_view workspace, std::string_view tier,
                                          std::string_view target, bool is_service) const noexcept;
    /// Whether the backend server is configured to serve the target (a service's name if `is_service`, else
    /// a model's).
    [[nodiscard]] static bool serves(const backend_server& server, std::string_view target, bool is_service);
};

} // namespace borageford::configuration
