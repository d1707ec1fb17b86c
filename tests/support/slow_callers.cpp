// Implements slow_callers with blocking sockets.
#include "support/slow_callers.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <sys/resource.h>

namespace borageford::test {

namespace asio = boost::asio;

void slow_callers::send(const http::endpoint& server, const http::request& call) {
    std::string text = call.method + " " + call.target + " HTTP/1.1\r\n";
    for (const auto& field : call.headers) {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    send_bytes(server, text);
}

void slow_callers::send_bytes(const http::endpoint& server, const std::string& bytes) {
    constexpr int small = 4096;
    asio::ip::tcp::socket socket(m_context);
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(small));
    socket.connect(server);
    asio::write(socket, asio::buffer(bytes));
    m_sockets.push_back(std::move(socket));
}

std::string slow_callers::read_all(std::size_t index) {
    std::string text;
    std::array<char, 1 << 16> piece{};
    boost::system::error_code error;
    while (!error && !text.ends_with("\r\n0\r\n\r\n")) {
        const auto count = m_sockets.at(index).read_some(asio::buffer(piece), error);
        text.append(piece.data(), count);
    }
    return text;
}

std::size_t count_possible_callers(std::size_t wanted) {
    constexpr std::size_t others = 300;
    constexpr std::size_t per_caller = 2; // at the gateway, and at the emulated servers and callers
    ::rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const auto open = static_cast<std::size_t>(limit.rlim_cur);
    return std::min(wanted, (open - std::min(open, others)) / per_caller);
}

} // namespace borageford::test
