// The settings of a gateway: where callers, the balancer and other gateways reach it, and the bounds that its
// deployment promises.
#pragma once

#include "policy/slot_scheduler.hpp"
#include "process/common_settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::gateway {

using std::chrono::milliseconds;

struct gateway_settings {
    process::common_settings common;
    boost::asio::ip::tcp::endpoint callers_listen;
    boost::asio::ip::tcp::endpoint readiness_listen; ///< asked by the balancer
    boost::asio::ip::tcp::endpoint peers_listen;     ///< for other gateways: TCP and UDP
    std::optional<boost::asio::ip::tcp::endpoint> metrics_listen;
    /// Other gateways that may be alive, on the port of `peers_listen`; the store has the full list.
    std::vector<boost::asio::ip::address> seeds;
    /// Share of a core that this process may use; peers prefer the strongest for common work.
    double processor_share = 1;
    /// Whether gateways choose one of them to give out all slots; without, each gives out its own part.
    bool coordinates = true;
    /// How slots are given out; see policy/slot_scheduler.hpp for what each figure answers.
    policy::slot_scheduler_limits slots;
    milliseconds stop_limit{8000}; ///< from SIGTERM until the process is ended from outside

    /// How long a request waits for the first configuration. A process that has just started knows it soon,
    /// and where all were killed at once callers have nowhere else to go.
    milliseconds configuration_patience{400};

    /// How long a request for which this process's own part of an allowance doesn't suffice waits for a
    /// coordinator to be found, after one was lost and after a start.
    milliseconds coordinator_patience{400};

    /// Gateways that ask the store for changes besides the few that all others hear; the rest are told by
    /// them. Enough of them that a store which turns a third of all away, without a word, answers some of
    /// these.
    unsigned store_followers = 12;

    // Bounds that all gateways keep together.
    double retry_ratio = 0.1;  ///< repeated sends to a service, as a share of its requests
    double retry_reserve = 10; ///< repeated sends allowed beyond that in one window
    milliseconds retry_window{10000};
    milliseconds allowance_window{8000};    ///< over which a workspace's allowance is judged
    double allowance_slack = 0;             ///< units by which a window may go over it
    milliseconds configuration_limit{2000}; ///< within which a new configuration must be in force
    milliseconds drain_limit{2000};         ///< within which a leaving backend server gets no new work

    milliseconds backend_heartbeat{1500}; ///< between two heartbeats of a backend server to the store
    /// The store removes a registration that its server hasn't renewed for so long.
    [[nodiscard]] milliseconds registration_life() const noexcept {
        constexpr int missed_heartbeats = 3;
        return backend_heartbeat * (missed_heartbeats + 1);
    }
};

/// Reads and checks the whole file; complaints go to `problems`.
[[nodiscard]] gateway_settings read_gateway_settings(const settings::ini_document& document,
                                                     std::vector<settings::problem>& problems);

} // namespace borageford::gateway
