// A server whose answers are given byte by byte, for tests of what a caller makes of faulty ones.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace borageford::test {

/// What the server does with the connection once it has sent an answer.
enum class scripted_end : std::uint8_t {
    keep,      ///< reads the rest of the request, and the next one
    shut_down, ///< ends its sending side, and reads until the caller has ended the connection
    close,     ///< reads what has arrived and closes the socket; the kernel answers later bytes by a reset
    reset,     ///< resets the connection
    /// Stops listening and closes the socket, in order, as for a process that was killed.
    die,
    /// Ends its sending side at once, reads a little more of the request, and resets the connection.
    shut_down_and_reset,
};

/// What the server sends when a request has arrived.
struct scripted_answer {
    std::string bytes;
    /// Sent after `bytes` again and again, until the caller closes the connection; empty: nothing.
    std::string endless = {};
    scripted_end end = scripted_end::keep;
    /// Whether the end waits for release_ends().
    bool holds_end = false;
    /// How much of the request's body is read before the answer is sent; the rest is read after it.
    std::size_t read_before = std::numeric_limits<std::size_t>::max();
};

/// Runs on the test's event loop. Requests are read one at a time; their bodies have a length.
class scripted_server {
public:
    explicit scripted_server(boost::asio::io_context& context);

    /// Sets the size of the kernel's buffers for requests on connections that are accepted from now on.
    void set_receive_buffer(int bytes) {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    /// Adds the answer to the next request that has none yet. Requests without one aren't answered.
    void add(scripted_answer answer) { m_answers.push_back(std::move(answer)); }

    /// Answers each request that begins with this text so, whatever was added for others.
    void answer_always(std::string begin, std::string bytes) {
        m_usual_begin = std::move(begin);
        m_usual_answer = std::move(bytes);
    }
    /// Lets the ends that are held now take place.
    void release_ends() { m_held_ends.cancel(); }

    /// The number of the connection on which each request arrived, in the order of arrival; the first is 0.
    [[nodiscard]] const std::vector<std::size_t>& arrivals() const noexcept { return m_arrivals; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_open; }
    /// How many bytes of requests' bodies were read.
    [[nodiscard]] std::size_t body_bytes() const noexcept { return m_body_bytes; }
    /// How many bytes of the endless parts the kernel has taken.
    [[nodiscard]] std::size_t endless_bytes() const noexcept { return m_endless_bytes; }

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, std::size_t number);
    boost::asio::awaitable<void> send(boost::asio::ip::tcp::socket& socket, scripted_answer answer);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::deque<scripted_answer> m_answers;
    std::string m_usual_begin;
    std::string m_usual_answer;
    std::vector<std::size_t> m_arrivals;
    std::size_t m_open = 0;
    boost::asio::steady_timer m_held_ends; ///< runs until the ends that are held are to take place
    std::size_t m_body_bytes = 0;
    std::size_t m_endless_bytes = 0;
};

} // namespace borageford::test
