// The operators' intent as typed values: what one revision of the configuration says. Immutable once
// parsed; read on every request through a snapshot.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::configuration {

/// Revisions only grow; 0 means that no configuration is known.
using revision_number = std::uint64_t;

/// A class of requests. Rank 0 is the highest tier.
struct tier {
    std::string name;
    unsigned rank = 0;
    std::chrono::milliseconds first_token_target{1100};
    std::chrono::milliseconds between_tokens_target{68};
};

/// A customer's share of the system.
struct workspace {
    std::string name;
    std::vector<std::string> key_hashes; ///< SHA-256 of each API key, lower-case hexadecimal
    std::string tier;                    ///< the highest it may use
    double requests_per_second = 0;      ///< 0: no limit; the whole system's, divided over live entries
    double request_burst = 0;            ///< requests; 0: one second's worth
    double tokens_per_second = 0;        ///< 0: no limit
    unsigned concurrent_requests = 0;    ///< 0: no limit
};

struct model {
    std::string name;
    std::string version;
    std::vector<std::string> adapters;
    unsigned context_tokens = 32768;
    unsigned expected_output_tokens = 200; ///< used until enough has been measured
};

struct service {
    std::string name;
};

enum class backend_kind : std::uint8_t { engine, service };

/// One server that does work, with its sidecar beside it.
struct backend_server {
    std::string name;
    backend_kind kind = backend_kind::engine;
    std::string failure_domain;
    std::vector<std::string> models;   ///< for engines
    std::vector<std::string> services; ///< for plain services
    std::vector<std::string> adapters;
    std::string role;            ///< as the engine names its roles; empty: as it is
    unsigned slots = 16;         ///< requests at once, at most
    bool checks_fencing = false; ///< the engine refuses orders with an old fencing number
    bool drained = false;        ///< an operator wants no new work there
};

/// Lets a workspace and some tiers use a model or a service.
struct route {
    std::string name;
    std::string workspace;          ///< "*": every workspace
    std::vector<std::string> tiers; ///< empty: every tier
    std::string model;              ///< a model, "*" or empty
    std::string service;            ///< a service, "*" or empty
    bool idempotent = true;
};

/// All of one revision. Invariant: names are unique within each kind, and every name that an object
/// mentions exists.
struct configuration {
    revision_number revision = 0;
    std::string text;                        ///< the intent as it was confirmed
    std::vector<std::uint8_t> deflated_text; ///< the same, for peers that ask
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
    /// The first route that lets this workspace and tier use the target; null when none does.
    [[nodiscard]] const route* find_route(std::string_view workspace, std::string_view tier,
                                          std::string_view target, bool is_service) const noexcept;
    /// Whether this backend server is configured to serve the target.
    [[nodiscard]] static bool serves(const backend_server& server, std::string_view target, bool is_service);
};

} // namespace borageford::configuration
