// Implementation of scripted_server: one coroutine a connection.
#include "support/scripted_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace borageford::test {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view length_field = "Content-Length: ";

/// So much that the caller has noticed the end of the answer when it has been read.
constexpr std::size_t read_before_reset = 500'000;

std::size_t body_size(std::string_view head) {
    const auto at = head.find(length_field);
    return at == std::string_view::npos ? 0 : std::stoull(std::string(head.substr(at + length_field.size())));
}

/// Reads a request's body, of which `received` may hold the begin.
struct body_reader {
    tcp::socket& socket;
    std::string& received;
    std::size_t left;

    /// Reads up to that many bytes of what is left, and returns how many it were.
    asio::awaitable<std::size_t> read(std::size_t most) {
        const auto wanted = std::min(most, left);
        if (received.size() < wanted) {
            co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                      asio::transfer_exactly(wanted - received.size()), asio::use_awaitable);
        }
        received.erase(0, wanted);
        left -= wanted;
        co_return wanted;
    }
};

/// Throws away what has arrived: closing a socket with unread bytes would reset the connection.
void drop_received(tcp::socket& socket) {
    std::array<char, 64U * 1024> dropped{};
    while (socket.available() > 0) {
        socket.read_some(asio::buffer(dropped));
    }
}

void end(tcp::socket& socket, scripted_end how) {
    switch (how) {
    case scripted_end::keep:
        break;
    case scripted_end::shut_down:
        socket.shutdown(tcp::socket::shutdown_send);
        break;
    case scripted_end::close:
    case scripted_end::die:
        drop_received(socket);
        socket.close();
        break;
    case scripted_end::reset:
    case scripted_end::shut_down_and_reset:
        socket.set_option(asio::socket_base::linger(true, 0)); // makes the kernel send a reset
        socket.close();
        break;
    }
}

} // namespace

scripted_server::scripted_server(asio::io_context& context)
    : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}),
      m_held_ends(context, asio::steady_timer::time_point::max()) {
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> scripted_server::accept() {
    for (std::size_t number = 0; m_acceptor.is_open(); ++number) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), number), asio::detached);
        }
    }
}

asio::awaitable<void> scripted_server::serve(tcp::socket socket, std::size_t number) {
    ++m_open;
    try {
        for (std::string received;;) {
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                                              "\r\n\r\n", asio::use_awaitable);
            body_reader body{socket, received, body_size(std::string_view(received).substr(0, size))};
            const bool is_usual = !m_usual_begin.empty() && received.starts_with(m_usual_begin);
            received.erase(0, size);
            if (is_usual) {
                co_await asio::async_write(socket, asio::buffer(m_usual_answer), asio::use_awaitable);
                continue;
            }
            m_arrivals.push_back(number);
            if (m_answers.empty()) {
                m_body_bytes += co_await body.read(body.left);
                continue;
            }
            const auto answer = std::move(m_answers.front());
            m_answers.pop_front();
            m_body_bytes += co_await body.read(answer.read_before);
            co_await send(socket, answer);
            if (answer.holds_end) {
                boost::system::error_code cancelled;
                co_await m_held_ends.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
            }
            if (answer.end == scripted_end::shut_down_and_reset) {
                socket.shutdown(tcp::socket::shutdown_send);
                co_await body.read(read_before_reset);
            }
            if (answer.end == scripted_end::die) {
                m_acceptor.close();
            }
            end(socket, answer.end);
            m_body_bytes += co_await body.read(body.left);
        }
    } catch (const boost::system::system_error&) { // the caller has closed the connection
    }
    --m_open;
}

asio::awaitable<void> scripted_server::send(tcp::socket& socket, scripted_answer answer) {
    co_await asio::async_write(socket, asio::buffer(answer.bytes), asio::use_awaitable);
    constexpr std::size_t write_size = 64U * 1024;
    const auto part = answer.endless;
    while (!part.empty() && answer.endless.size() < write_size) {
        answer.endless += part;
    }
    while (!part.empty()) {
        m_endless_bytes +=
            co_await asio::async_write(socket, asio::buffer(answer.endless), asio::use_awaitable);
    }
}

} // namespace borageford::test
