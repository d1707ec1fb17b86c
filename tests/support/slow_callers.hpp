// Callers that send requests and read the answers slowly or not at all.
#pragma once

#include "http/client.hpp"
#include "http/message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace borageford::test {

/// Connections with small receive buffers, so that what isn't read stays with the sender.
class slow_callers {
public:
    /// Connects to the server and sends a request, and reads nothing of the answer.
    void send(const http::endpoint& server, const http::request& call);
    /// Sends these bytes on a connection of their own.
    void send_bytes(const http::endpoint& server, const std::string& bytes);
    /// Reads the answer on a connection until it ends, in chunks of the chunked coding or with its
    /// connection.
    [[nodiscard]] std::string read_all(std::size_t index);
    [[nodiscard]] std::size_t count() const noexcept { return m_sockets.size(); }

private:
    boost::asio::io_context m_context;
    std::deque<boost::asio::ip::tcp::socket> m_sockets;
};

/// As many connections through one gateway as the limit of open files allows, but at most `wanted`.
[[nodiscard]] std::size_t count_possible_callers(std::size_t wanted);

} // namespace borageford::test
