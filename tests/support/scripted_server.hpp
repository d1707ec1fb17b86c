// A server whose answers are given byte by byte, for tests of what a caller makes of faulty ones.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace borageford::test {

/// What the server sends when a request has arrived.
struct scripted_answer {
    std::string bytes;
    /// Sent after `bytes` again and again, until the caller closes the connection; empty: nothing.
    std::string endless = {};
};

/// Runs on the test's event loop. Requests have no bodies, and are read one at a time.
class scripted_server {
public:
    explicit scripted_server(boost::asio::io_context& context);

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    /// Adds the answer to the next request that has none yet. Requests without one aren't answered.
    void add(scripted_answer answer) { m_answers.push_back(std::move(answer)); }

    /// The number of the connection on which each request arrived, in the order of arrival; the first is 0.
    [[nodiscard]] const std::vector<std::size_t>& arrivals() const noexcept { return m_arrivals; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_open; }
    /// How many bytes of the endless parts the kernel has taken.
    [[nodiscard]] std::size_t endless_bytes() const noexcept { return m_endless_bytes; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::size_t number);
    boost::asio::awaitable<void> send(boost::asio::ip::tcp::socket& socket, scripted_answer answer);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::deque<scripted_answer> m_answers;
    std::vector<std::size_t> m_arrivals;
    std::size_t m_open = 0;
    std::size_t m_endless_bytes = 0;
};

} // namespace borageford::test
