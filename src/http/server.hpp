// An HTTP/1.1 server with limits on connections and requests. It reads each request completely, calls one
// handler and writes complete or streamed responses.
#pragma once

#include "base/error_kind.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace borageford::http {

/// Limits on the size and duration of requests and on the number of connections.
struct server_limits {
    std::size_t header_bytes = 16U * 1024;
    /// Longest body of a request; 0: requests have no body.
    std::size_t body_bytes = 4U * 1024 * 1024;
    /// Most bytes that are held of all requests together. Above that, those that have held most for longest
    /// without being complete are refused with error_kind::overloaded.
    std::size_t held_bytes = 32U * 1024 * 1024;
    /// Longest time from the first byte of a request to its last.
    std::chrono::milliseconds request_time{10000};
    /// How long a connection is kept open without a request.
    std::chrono::milliseconds idle_time{60000};
    /// Longest time for one write.
    std::chrono::milliseconds write_time{30000};
    /// Largest number of open connections.
    std::size_t connections = 10000;

    /// Limits for an address whose requests have no body.
    [[nodiscard]] static server_limits without_body() noexcept;
};

/// Writes the response to a request. The coroutines that write throw boost::system::system_error when the
/// caller has disconnected.
class response_writer {
public:
    struct state;
    explicit response_writer(std::shared_ptr<state> shared) noexcept : m_state(std::move(shared)) {}

    /// Writes a complete response.
    boost::asio::awaitable<void> write(const response& answer);

    /// Writes the head of a response whose length isn't known and that is sent in chunks. Only finish() marks
    /// its end, so the caller can detect a truncated response.
    boost::asio::awaitable<void> begin(const response_head& head);
    /// Writes the next bytes of the body after begin(). An empty piece is ignored.
    boost::asio::awaitable<void> write_piece(std::string_view piece);
    /// Writes the end marker of a response that was started with begin().
    boost::asio::awaitable<void> finish();

    /// Writes the bytes unchanged, for emulators of faulty servers. Shuts the connection down afterwards
    /// unless `keeps_connection` is true.
    boost::asio::awaitable<void> write_raw(std::string bytes, bool keeps_connection);

    /// Writes the bytes when the next request on this connection has arrived, before its response; for
    /// emulators of faulty servers.
    void write_before_next(std::string bytes);

    /// The number of the request's connection, which no other connection of the server has.
    [[nodiscard]] std::uint64_t connection() const noexcept;

    /// Closes the connection without an end marker, so that the caller sees a truncated response.
    void abort() noexcept;

    /// Returns when the caller has closed its connection or when the response has been written. Run it
    /// concurrently with the handler's work, on the same executor.
    boost::asio::awaitable<void> wait_for_disconnect();

    /// True once begin(), write() or write_raw() was called: the status can't change any more.
    [[nodiscard]] bool has_begun() const noexcept;

private:
    /// Shared, because wait_for_disconnect() may return after the request has ended.
    std::shared_ptr<state> m_state;
};

/// Writes the response to one request. If it throws, the server responds with error_kind::internal, or aborts
/// the response if its head has already been written.
using handler = std::function<boost::asio::awaitable<void>(const request&, response_writer&)>;

/// Builds the response to a request that the server itself refuses because it is malformed, too large or too
/// slow, or because there are too many connections.
using refusal_formatter = std::function<response(error_kind, std::string_view detail)>;

/// The HTTP server. The destructor calls drain().
///
/// Invariant: at most `limits.connections` connections are served. For a further one, the connection is
/// closed that has been longest without a complete request; if there is none, the further one gets an error
/// response and is closed.
class server {
public:
    server(const boost::asio::any_io_executor& executor, server_limits limits, handler handle,
           refusal_formatter refuse);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// Starts to accept connections and returns the address in use. With port 0 the kernel chooses the port.
    /// Throws boost::system::system_error when the address can't be used.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Stops accepting connections and closes idle ones. Requests in progress are completed.
    void drain();

    /// Stops accepting connections and closes all of them, as when the process ends.
    void close_all();

    /// Number of requests whose handler is running.
    [[nodiscard]] std::size_t requests_in_progress() const noexcept;
    /// Number of open connections, including those that are being refused.
    [[nodiscard]] std::size_t open_connections() const noexcept;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::http
