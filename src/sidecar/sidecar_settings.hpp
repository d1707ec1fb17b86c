// The settings of a sidecar: the [sidecar] section of its settings file, and the sections that all processes
// share.
#pragma once

#include "process/common_settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageford::sidecar {

/// The settings of a sidecar. The members of the [sidecar] section are named after their keys.
struct sidecar_settings {
    process::common_settings common;
    std::string backend_server;                     ///< the backend server's name in the configuration
    boost::asio::ip::tcp::endpoint backend_address; ///< the backend server's address
    boost::asio::ip::tcp::endpoint peers_listen;    ///< listens for connections of entries
    boost::asio::ip::tcp::endpoint status_listen;   ///< listens for HTTP requests for health and metrics
    std::size_t peer_connections = 1024;            ///< the most connections of entries at a time

    std::size_t queue_requests = 256;           ///< the most queued requests
    std::uint64_t queue_tokens = 1U << 20U;     ///< the most tokens of all queued requests
    std::chrono::milliseconds grant_lease{500}; ///< a granted request must be started within this time

    std::chrono::milliseconds resend_grace{10'000};      ///< until a dispatch without a reader is cancelled
    std::chrono::milliseconds answer_retention{60'000};  ///< how long the answer of an ended dispatch is kept
    std::size_t answer_count = 10'000;                   ///< the most answers that are kept
    std::uint64_t answer_memory = 64U * 1024 * 1024;     ///< the most bytes of all answers in memory
    std::uint64_t answer_size = 16U * 1024 * 1024;       ///< the most bytes of one answer
    std::chrono::milliseconds ledger_retention{600'000}; ///< how long the ledger keeps ended dispatches
    std::size_t ledger_entries = 100'000;                ///< the most ended dispatches in the ledger

    std::chrono::milliseconds connect_limit{1000};         ///< timeout for connecting to the backend server
    std::chrono::milliseconds first_token_limit{60'000};   ///< until the first byte of a streamed answer
    std::chrono::milliseconds whole_answer_limit{600'000}; ///< until an answer that isn't streamed begins
    std::chrono::milliseconds stall_limit{10'000};         ///< between two pieces of an answer
    std::chrono::milliseconds health_period{500};          ///< between health checks of the backend server
    std::chrono::milliseconds cache_period{500};           ///< between polls of the engine's cache events
    std::chrono::milliseconds control_timeout{1000}; ///< timeout of health, load, cancel and state calls

    std::chrono::milliseconds order_period{1000};  ///< between comparisons of engine and configuration
    std::chrono::milliseconds order_timeout{3000}; ///< timeout of one order
    std::chrono::milliseconds order_lease{10'000}; ///< length of the fencing lease
    std::chrono::milliseconds load_spread{2000};   ///< the longest random delay before a load order
    std::chrono::milliseconds mark_limit{500}; ///< how long a failure may be delayed to write its crash mark
    std::chrono::milliseconds mark_lifetime{3'600'000}; ///< how long a crash mark counts
};

/// Reads the settings file. Errors are added to `problems`; the result is valid only if there are none.
[[nodiscard]] sidecar_settings read_sidecar_settings(const std::string& file,
                                                     std::vector<settings::problem>& problems);

} // namespace borageford::sidecar
