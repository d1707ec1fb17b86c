// A bounded HTTP/1.1 server: accepts connections, reads whole requests within limits, hands each to one
// handler, and writes whole or streamed answers.
#pragma once

#include "base/error_kind.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace borageford::http {

/// Bounds on what one connection may take.
struct server_limits {
    std::size_t header_bytes = 16U * 1024;
    std::size_t body_bytes = 4U * 1024 * 1024;
    /// From a request's first byte to its last.
    std::chrono::milliseconds request_time{10000};
    /// A kept-alive connection without a request.
    std::chrono::milliseconds idle_time{60000};
    /// One write that makes no progress.
    std::chrono::milliseconds write_time{30000};
    std::size_t connections = 10000;
};

/// Writes the one answer to a request. Every call throws boost::system::system_error once the caller is
/// gone.
class response_writer {
public:
    struct state;
    explicit response_writer(std::shared_ptr<state> shared) noexcept : m_state(std::move(shared)) {}

    /// The whole answer at once.
    boost::asio::awaitable<void> write(const response& answer);

    /// Starts an answer whose length isn't known; its end is marked by finish() alone, so a part can't be
    /// taken for the whole.
    boost::asio::awaitable<void> begin(const response_head& head);
    boost::asio::awaitable<void> write_piece(std::string_view piece);
    boost::asio::awaitable<void> finish();

    /// Bytes as they are, for emulators of servers that misbehave; the connection ends with them unless
    /// `keeps_connection`.
    boost::asio::awaitable<void> write_raw(std::string bytes, bool keeps_connection);

    /// Ends the connection without the end marker: the caller sees a cut answer.
    void cut() noexcept;

    /// Returns when the caller has closed its connection, or when the answer has been written. Run it
    /// beside the handler's work, on the same executor.
    boost::asio::awaitable<void> wait_for_disconnect();

    /// True once begin() or write() was called: the status can't change any more.
    [[nodiscard]] bool has_begun() const noexcept;

private:
    /// Shared, since the wait for a disconnect may end after the request does.
    std::shared_ptr<state> m_state;
};

/// Produces the answer to one request. An exception that leaves it is answered with the kind `internal`,
/// or cuts the answer when it has begun.
using handler = std::function<boost::asio::awaitable<void>(const request&, response_writer&)>;

/// Writes the answer to a request that the server itself refuses (malformed, too large, too slow, too many
/// connections).
using refusal_formatter = std::function<response(error_kind, std::string_view detail)>;

/// Invariant: no more than `limits.connections` connections are open.
class server {
public:
    server(const boost::asio::any_io_executor& executor, server_limits limits, handler handle,
           refusal_formatter refuse);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// Starts to accept. Port 0 lets the kernel choose; returns the address in use.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Stops accepting and closes idle connections; requests in progress go on to their end.
    void drain();

    /// Requests being handled.
    [[nodiscard]] std::size_t requests_in_progress() const noexcept;
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::http
