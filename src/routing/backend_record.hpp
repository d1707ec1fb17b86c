// What a backend server tells of itself where all processes can read it.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::routing {

enum class backend_state : std::uint8_t { ready, draining };

struct backend_record {
    std::string id; ///< of one start of the server; an address may serve another one later
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    std::string failure_domain;
    unsigned slots = 1; ///< requests that it works on together
    backend_state state = backend_state::ready;
    std::chrono::milliseconds cold_time{0}; ///< how much longer it stays slow after its start
};

} // namespace borageford::routing
