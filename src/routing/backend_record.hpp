// Registration of a backend server in the store, as read by all processes.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::routing {

/// Whether the server accepts new requests or is draining.
enum class backend_state : std::uint8_t { ready, draining };

/// The registration of one start of a backend server.
struct backend_record {
    std::string id; ///< Name of the server. Its address may later belong to a server with another id.
    /// Identifies one start of the server: its start time in Unix milliseconds by the server's own clock; 0
    /// if the server doesn't report it. Clocks may be set back, so start values are only compared for
    /// equality; which of two starts is later follows from the order in which the store accepted them.
    std::uint64_t start = 0;
    std::string service;
    std::string version; ///< Version of the server's software; empty if the server doesn't report it.
    boost::asio::ip::tcp::endpoint address;
    std::string failure_domain;
    unsigned slots = 1; ///< Requests that the server works on concurrently.
    backend_state state = backend_state::ready;
    /// Remaining time for which the server is slower than usual after its start.
    std::chrono::milliseconds cold_time{0};

    /// Hash of `id` and `start`. A server that restarts under the same id has lost its state, so everything
    /// that is known about a server is stored under this key and isn't applied to the new start.
    [[nodiscard]] std::uint64_t key() const noexcept;
};

} // namespace borageford::routing
