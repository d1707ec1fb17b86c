// What a backend server tells of itself where all processes can read it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::routing {

enum class backend_state : std::uint8_t { ready, draining };

struct backend_record {
    std::string id; ///< an address may serve a server with another id later
    /// Names one start of the server: the time of it in Unix milliseconds, by the server's own clock; 0 where
    /// it doesn't tell. Clocks step, so starts are compared for equality only: which of two is the later one
    /// is told by the order in which the store took them.
    std::uint64_t start = 0;
    std::string service;
    std::string version; ///< of its software; empty: not told
    boost::asio::ip::tcp::endpoint address;
    std::string failure_domain;
    unsigned slots = 1; ///< requests that it works on together
    backend_state state = backend_state::ready;
    std::chrono::milliseconds cold_time{0}; ///< how much longer it stays slow after its start

    /// What id and start hash to. A server that starts anew under its old id holds and knows nothing of
    /// before; all that is believed of a server is filed under this key, so that none of it is passed on to
    /// the new start.
    [[nodiscard]] std::uint64_t key() const noexcept;
};

} // namespace borageford::routing
