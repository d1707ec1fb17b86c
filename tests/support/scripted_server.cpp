// Implementation of scripted_server: one coroutine a connection.
#include "support/scripted_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace borageford::test {

namespace asio = boost::asio;
using asio::ip::tcp;

scripted_server::scripted_server(asio::io_context& context)
    : m_acceptor(context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> scripted_server::accept() {
    for (std::size_t number = 0;; ++number) {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), number), asio::detached);
    }
}

asio::awaitable<void> scripted_server::serve(tcp::socket socket, std::size_t number) {
    ++m_open;
    try {
        for (std::string received;;) {
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(received),
                                                              "\r\n\r\n", asio::use_awaitable);
            received.erase(0, size);
            m_arrivals.push_back(number);
            if (m_answers.empty()) {
                continue;
            }
            auto answer = std::move(m_answers.front());
            m_answers.pop_front();
            co_await send(socket, std::move(answer));
        }
    } catch (const boost::system::system_error&) {
        --m_open; // the caller has closed the connection
    }
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
