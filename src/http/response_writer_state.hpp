// What a response_writer shares with the server that calls its handler.
#pragma once

#include "http/server.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace borageford::http {

struct response_writer::state {
    state(boost::beast::tcp_stream& connection, std::uint64_t number, std::chrono::milliseconds limit)
        : stream(connection), connection_number(number), write_time(limit) {}

    boost::beast::tcp_stream& stream;
    std::uint64_t connection_number;
    std::chrono::milliseconds write_time;
    bool keep_alive = true;
    bool begun = false;
    bool chunked = false;
    bool ended = false;
    bool is_over = false;    ///< the request has ended; `stream` may have been destroyed
    std::string before_next; ///< see write_before_next()
};

} // namespace borageford::http
