// An experiment as its file describes it: what is emulated, the load, what goes wrong, and where gateways
// are.
#pragma once

#include "emulator/batching_engine.hpp"
#include "emulator/load_model.hpp"
#include "routing/routing_types.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::experiment {

using std::chrono::milliseconds;

/// Equal backend servers of one service.
struct server_group {
    std::string service;
    std::size_t count = 1;
    boost::asio::ip::tcp::endpoint first_address; ///< the others take the ports after it
    unsigned slots = 8;
    std::optional<emulator::engine_model> engine; ///< nothing for a plain service
    std::vector<double> speeds;                   ///< time factors, taken in turn
    milliseconds work{10};                        ///< of a call to a plain service
    /// How long its servers tell that they keep an idle connection; 0: they don't tell.
    std::chrono::seconds keep_alive{0};
};

/// Callers of one route. Sizes, rates and what counts as served stand in `load_model`, at the same index.
struct caller_group {
    std::string name;
    std::string route;
    std::string key;      ///< of a workspace; empty on public routes
    unsigned returns = 1; ///< times that a refused caller comes back
    double gives_up = 0;  ///< share of the callers that leave before their answer is whole
};

enum class fault_kind : std::uint8_t {
    crash, ///< servers vanish and come back under a new id afterwards
    hang,  ///< servers take requests and say nothing
    fail,  ///< servers answer 500
    cut,   ///< servers end connections in the middle of answers
    slow,  ///< servers take `factor` times as long
    drain, ///< servers announce that they leave, finish, and come back afterwards
    store_refuses,
    store_silent,
    store_slow,    ///< each answer takes `factor` times 100 ms
    store_returns, ///< away, and then back from a copy that is `copy_age` old
};

struct planned_fault {
    std::string name;
    fault_kind kind = fault_kind::crash;
    milliseconds at{0};
    milliseconds length{1000};
    std::string service;   ///< whose servers; empty for the store's faults
    std::size_t count = 1; ///< servers that meet it, the first ones of the service
    double factor = 3;
    milliseconds copy_age{2000};        ///< when the store is back
    milliseconds rewritten_after{1000}; ///< from then until what was lost is written again
};

/// Where one gateway listens; `borageford emulate` writes its settings file.
struct gateway_place {
    boost::asio::ip::address address;
    std::uint16_t first_port = 0; ///< callers, then readiness, other gateways, metrics
};

struct experiment_plan {
    std::string name;
    boost::asio::ip::tcp::endpoint store;
    std::vector<gateway_place> gateways;
    std::string gateway_settings; ///< further lines for their files
    routing::routing_document configuration;
    std::vector<server_group> servers;
    std::vector<caller_group> callers;
    emulator::load_model load;
    std::vector<planned_fault> faults;
};

} // namespace borageford::experiment
