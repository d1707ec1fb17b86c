// The contents of an experiment file: the emulated backend servers and store, the load, the faults, and the
// addresses of the gateways under test.
#pragma once

#include "emulator/batching_engine.hpp"
#include "emulator/emulated_backend.hpp"
#include "emulator/load_model.hpp"
#include "emulator/partial_faults.hpp"
#include "routing/routing_types.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

using std::chrono::milliseconds;

/// Emulated backend servers of one service, which differ only in speed.
struct server_group {
    std::string service;
    std::size_t count = 1; ///< number of servers
    /// The address of the first server; each further server listens on the next port.
    boost::asio::ip::tcp::endpoint first_address;
    unsigned slots = 8;                           ///< requests that a server runs at a time
    std::optional<emulator::engine_model> engine; ///< a model engine; nothing for a plain service
    std::vector<double> speeds;                   ///< speeds of the engines, assigned in turn
    std::vector<std::string> software; ///< software versions, assigned in turn; empty: none is reported
    milliseconds work{10};             ///< how long a call to a plain service takes
    /// The timeout for idle connections that the servers announce in the header Keep-Alive; 0: none is
    /// announced.
    std::chrono::seconds keep_alive{0};
    std::size_t padding = 0;          ///< bytes that are added to each answer or event
    milliseconds unread_limit{30000}; ///< a server ends an answer of which nothing is read for this time
};

/// What of a group's requests crashes the servers that begin to answer them.
enum class fatal_trait : std::uint8_t {
    none,
    request, ///< each request; all have the same body
    part,    ///< the last part that their prompts share; no two requests have the same body
};

/// Callers of one route. Their request sizes, rates and latency targets are in experiment_plan::load.classes,
/// at the index that the group has in experiment_plan::callers.
struct caller_group {
    std::string name;
    std::string route;
    std::string key;                   ///< the API key of a workspace; empty on public routes
    unsigned max_retries = 1;          ///< how often a refused caller retries at most
    double disconnect_probability = 0; ///< probability that a caller disconnects early, between 0 and 1
    milliseconds reads_after{0};       ///< how long the callers read nothing of their answers
    std::vector<std::string> parts;    ///< ids of the parts that their prompts share, in hexadecimal
    fatal_trait fatal = fatal_trait::none;
};

/// What goes wrong. The faults of the store follow the faults of backend servers.
enum class fault_kind : std::uint8_t {
    crash,     ///< servers crash, and start again under a new id when the fault ends
    hang,      ///< servers accept requests and never answer
    fail,      ///< servers answer 500
    cut,       ///< servers close connections in the middle of answers
    slow,      ///< servers take `factor` times as long
    drain,     ///< servers announce that they drain, stop when the fault ends, and start again under a new id
    limit,     ///< servers name a rate limit in their answers
    refuse,    ///< servers refuse all requests, and may ask for a pause
    irregular, ///< servers have `faults` in some of their answers
    gateway_lost,  ///< a gateway is killed, and started again when the fault ends
    store_refuses, ///< the store refuses every call
    store_silent,  ///< the store accepts calls and never answers
    store_slow,    ///< each answer of the store is delayed by `factor` times 100 ms
    /// The store closes the connection of every call, and is then restored from a copy that is `copy_age`
    /// old.
    store_returns,
};

/// A fault and when it happens.
struct planned_fault {
    std::string name;
    fault_kind kind = fault_kind::crash;
    milliseconds at{0};              ///< begin, since the experiment's begin
    milliseconds length{1000};       ///< from the fault's begin to its end
    std::string service;             ///< whose servers have the fault; empty for the store's faults
    std::size_t count = 1;           ///< how many servers have it: the first ones of the service
    double factor = 3;               ///< for the kinds `slow` and `store_slow`
    double per_second = 1;           ///< the rate limit that the kind `limit` names, in requests per second
    milliseconds pause{0};           ///< what servers of the kind `refuse` ask for; 0: nothing
    emulator::partial_faults faults; ///< for the kind `irregular`
    std::string software;    ///< for the kinds `crash` and `drain`: the version of the servers started again
    std::size_t gateway = 0; ///< which one is lost, for the kind `gateway_lost`; counts from 0
    milliseconds copy_age{2000};        ///< age of the copy from which the store is restored
    milliseconds rewritten_after{1000}; ///< from the restore until the lost rows are written again
};

/// For a while, most callers open a new connection for each request, and most of these go to one gateway, or
/// to the next one that is ready.
struct connection_rush {
    std::string name;
    milliseconds at{0}; ///< begin, since the experiment's begin
    milliseconds length{5000};
    std::size_t gateway = 0;
    double share = 0.9; ///< of all requests, between 0 and 1
};

/// Where one gateway listens; `borageford emulate` writes its settings file.
struct gateway_place {
    boost::asio::ip::address address;
    /// The port for callers. The next three ports are for readiness, for other gateways and for metrics.
    std::uint16_t first_port = 0;
};

/// A complete experiment.
struct experiment_plan {
    std::string name;
    boost::asio::ip::tcp::endpoint store;
    std::vector<gateway_place> gateways;
    std::string gateway_settings; ///< further lines for the gateways' settings files
    routing::routing_document configuration;
    std::vector<server_group> servers;
    std::vector<caller_group> callers;
    emulator::load_model load;
    std::vector<planned_fault> faults;
    std::vector<connection_rush> rushes;
    emulator::crash_rule crash_rule; ///< the requests that crash servers, by the traits of the callers
    milliseconds back_after{1000};   ///< from such a crash until the server is started again
};

/// The text in the bodies of requests with fatal_trait::request.
inline constexpr std::string_view fatal_body_text = "crashes servers";

} // namespace borageford::experiment
