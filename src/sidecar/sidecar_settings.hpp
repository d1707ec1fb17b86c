// The settings of a sidecar: its [sidecar] section beside the ones that all processes share.
#pragma once

#include "process/common_settings.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageford::sidecar {

struct sidecar_settings {
    process::common_settings common;
    std::string backend_server;                     ///< its name in the configuration
    boost::asio::ip::tcp::endpoint backend_address; ///< where it is served
    boost::asio::ip::tcp::endpoint peers_listen;    ///< for entries
    boost::asio::ip::tcp::endpoint status_listen;   ///< health and metrics
    std::size_t peer_connections = 1024;

    std::size_t queue_requests = 256;
    std::uint64_t queue_tokens = 1U << 20U;
    std::chrono::milliseconds grant_lease{500}; ///< a start must come within it

    std::chrono::milliseconds resend_grace{10'000};     ///< a stream nobody waits for goes on for this long
    std::chrono::milliseconds answer_retention{60'000}; ///< an answer nobody acknowledged is kept this long
    std::size_t answer_count = 10'000;
    std::uint64_t answer_memory = 64U * 1024 * 1024; ///< bytes of all answers that are held
    std::uint64_t answer_size = 16U * 1024 * 1024;   ///< bytes of one answer
    std::chrono::milliseconds ledger_retention{600'000};
    std::size_t ledger_entries = 100'000;

    std::chrono::milliseconds connect_limit{1000};
    std::chrono::milliseconds first_token_limit{60'000};   ///< until a streamed answer begins
    std::chrono::milliseconds whole_answer_limit{600'000}; ///< until an answer that isn't streamed is there
    std::chrono::milliseconds stall_limit{10'000};         ///< between two pieces of an answer
    std::chrono::milliseconds health_period{500};
    std::chrono::milliseconds cache_period{500};     ///< between polls of the engine's cache events
    std::chrono::milliseconds control_timeout{1000}; ///< health, load, cancel and state calls

    std::chrono::milliseconds order_period{1000};  ///< between comparisons of what is wanted with what is
    std::chrono::milliseconds order_timeout{3000}; ///< one order
    std::chrono::milliseconds order_lease{10'000}; ///< for engines that don't check fencing numbers
    std::chrono::milliseconds load_spread{2000};   ///< loads wait for a random part of it
    std::chrono::milliseconds mark_limit{500};     ///< for writing a crash mark before a failure is told
    std::chrono::milliseconds mark_lifetime{3'600'000}; ///< how long a crash mark counts
};

/// Reads the file. Complaints go to `problems`; the result is used only when there are none.
[[nodiscard]] sidecar_settings read_sidecar_settings(const std::string& file,
                                                     std::vector<settings::problem>& problems);

} // namespace borageford::sidecar
