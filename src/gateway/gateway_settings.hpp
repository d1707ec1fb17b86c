// The settings of a gateway: its addresses, and the limits that its deployment guarantees.
#pragma once

#include "http/server.hpp"
#include "policy/slot_scheduler.hpp"
#include "policy/unread_memory.hpp"
#include "process/common_settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::gateway {

using std::chrono::milliseconds;

/// The initial values are the defaults of the settings file.
struct gateway_settings {
    process::common_settings common;
    boost::asio::ip::tcp::endpoint callers_listen;
    boost::asio::ip::tcp::endpoint readiness_listen; ///< Address for the load balancer's readiness checks.
    boost::asio::ip::tcp::endpoint peers_listen;     ///< Address for other gateways, over TCP and UDP.
    std::optional<boost::asio::ip::tcp::endpoint> metrics_listen;
    /// Addresses of other gateways that may be running, which use the port of `peers_listen`; the store has
    /// the complete list.
    std::vector<boost::asio::ip::address> seeds;
    /// Share of a processor core that this process may use. Gateways prefer the member with the largest share
    /// as coordinator.
    double processor_share = 1;
    /// Whether the gateways elect a coordinator that grants all slots. Otherwise each gateway grants its
    /// local share.
    bool coordinates = true;
    /// Whether slots are granted within the rate limits that servers name. Turned off only to compare.
    bool obeys_server_limits = true;
    /// Whether no process of this system has run before: the retry reserves are at hand at once.
    bool is_first_start = false;
    /// Limits of the slot scheduling, described at policy::slot_scheduler_limits.
    policy::slot_scheduler_limits slots;
    milliseconds stop_limit{8000}; ///< From SIGTERM until the process is killed from outside.

    /// How long a request waits for the first configuration. A process that has just started receives it
    /// soon, and if all gateways were killed at once, callers have no other gateway to go to.
    milliseconds configuration_patience{400};

    /// How long a request waits for a coordinator to be found, after one was lost or after a start, if this
    /// process's local share of a quota isn't enough for it.
    milliseconds coordinator_patience{400};

    /// For how long a caller may come back for a stream that broke off. At least the longest time for which
    /// callers wait for an answer in all their attempts.
    milliseconds stream_memory{30000};

    /// The keys of quarantined requests and prompt parts that are released, in all gateways, when the
    /// settings are read again.
    std::vector<std::uint64_t> released_suspects;

    /// How many gateways poll the store for changes besides the candidates for coordination; all other
    /// gateways learn of changes from them. The number is large enough that a store which silently ignores a
    /// third of all gateways still answers some of them.
    unsigned store_followers = 12;

    /// The memory that this process may use, in bytes; 0: unknown. Then answers are bounded for each caller
    /// only, and incomplete requests by the machine's memory.
    std::uint64_t memory_limit = 0;
    /// How many descriptors this process may have open; 0: as many as the system grants.
    std::size_t descriptor_limit = 0;
    /// How long a server's answer may pause in all since its caller reads slowly.
    milliseconds slow_caller_limit{2000};
    /// How long bytes may be held of which the caller reads none.
    milliseconds unread_limit{20000};
    /// From the end of a request's header to the end of its body.
    milliseconds body_time_limit{30000};
    /// The bounds of what is held for callers, as these settings give them.
    [[nodiscard]] policy::unread_limits unread_limits() const noexcept;
    /// How many connections of callers may be open. The other descriptors are for servers, other gateways,
    /// the store and files.
    [[nodiscard]] std::size_t caller_connections() const noexcept;
    /// Limits of the addresses for readiness checks and for metrics.
    [[nodiscard]] http::server_limits check_limits() const noexcept;
    /// Limits of the address for other gateways.
    [[nodiscard]] http::server_limits peer_limits() const noexcept;

    // Limits that all gateways enforce together.
    double retry_ratio = 0.1;  ///< Retries on another server, as a share of a service's requests.
    double retry_reserve = 10; ///< Retries allowed in addition to that share in one window.
    milliseconds retry_window{10000};
    milliseconds allowance_window{8000};    ///< Window over which the quota of a workspace is counted.
    double allowance_slack = 0;             ///< Units by which a workspace may exceed its quota in a window.
    milliseconds configuration_limit{2000}; ///< Within this time a new configuration must be in force.
    milliseconds drain_limit{2000}; ///< Within this time a draining backend server gets no new requests.

    milliseconds backend_heartbeat{1500}; ///< Interval of a backend server's heartbeats to the store.
    /// The store removes a registration that its server hasn't renewed for this time.
    [[nodiscard]] milliseconds registration_life() const noexcept {
        constexpr int missed_heartbeats = 3;
        return backend_heartbeat * (missed_heartbeats + 1);
    }
};

/// Reads and checks all settings; errors are added to `problems`.
[[nodiscard]] gateway_settings read_gateway_settings(const settings::ini_document& document,
                                                     std::vector<settings::problem>& problems);

} // namespace borageford::gateway
