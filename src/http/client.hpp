// An HTTP/1.1 client. Each exchange uses a connection of its own; the response is read completely or in
// pieces.
#pragma once

#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>

namespace borageford::http {

using endpoint = boost::asio::ip::tcp::endpoint;

/// The stage at which an exchange failed. It determines whether the server can have acted on the request.
enum class exchange_stage : std::uint8_t {
    connecting, ///< nothing was sent
    sending,    ///< a part of the request may have arrived
    waiting,    ///< the request was sent, but no response head was received
    reading,    ///< the response body was truncated
};

/// Thrown when the connection was refused or broke, when a step exceeded its timeout, or when the response
/// isn't valid HTTP or its body is larger than allowed.
class exchange_error : public std::runtime_error {
public:
    exchange_error(exchange_stage stage, bool timed_out, const std::string& text)
        : std::runtime_error(text), m_stage(stage), m_timed_out(timed_out) {}
    [[nodiscard]] exchange_stage stage() const noexcept { return m_stage; }
    /// Whether a step exceeded its timeout in exchange_limits.
    [[nodiscard]] bool has_timed_out() const noexcept { return m_timed_out; }

private:
    exchange_stage m_stage;
    bool m_timed_out;
};

/// Timeouts for the steps of an exchange, and the largest body.
struct exchange_limits {
    /// Longest time to connect.
    std::chrono::milliseconds connect{2000};
    /// Longest time from the start of sending the request to the end of the response head.
    std::chrono::milliseconds head{30000};
    /// Longest time between two pieces of the response body.
    std::chrono::milliseconds idle{30000};
    /// Longest time from the end of the response head to the end of the body.
    std::chrono::milliseconds body = std::chrono::hours(24);
    /// Largest response body in bytes.
    std::size_t body_limit = 64U * 1024 * 1024;

    /// Limits for an exchange of which each step may take up to `step`, and the whole body a few times as
    /// long.
    [[nodiscard]] static exchange_limits for_step(std::chrono::milliseconds step);
};

/// One request and its response, which is read in pieces as it arrives. Must not be used by two coroutines at
/// the same time.
class client_exchange {
public:
    client_exchange(const boost::asio::any_io_executor& executor, exchange_limits limits);
    ~client_exchange();
    client_exchange(const client_exchange&) = delete;
    client_exchange& operator=(const client_exchange&) = delete;
    client_exchange(client_exchange&&) = delete;
    client_exchange& operator=(client_exchange&&) = delete;

    /// Connects, sends the request and reads the head of the response. Throws exchange_error.
    boost::asio::awaitable<response_head> send(const endpoint& server, const request& call);

    /// Returns the next piece of the response body, or an empty string at the end of the body. Throws
    /// exchange_error when the connection ends before the full length or the last chunk was received.
    boost::asio::awaitable<std::string> read_some();

    /// Whether the body has neither a length nor chunks and ends when the server closes the connection. Valid
    /// after send().
    [[nodiscard]] bool ends_with_connection() const noexcept;

    /// Closes the connection; a pending call throws exchange_error. Must be called on the exchange's
    /// executor.
    void cancel() noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Sends a request and returns the complete response. Throws exchange_error. `server` and `call` must exist
/// until the coroutine ends. The executor is passed by value, because a reference could bind to a converted
/// temporary that is destroyed before the coroutine first runs.
boost::asio::awaitable<response> fetch(boost::asio::any_io_executor executor, const endpoint& server,
                                       const request& call, exchange_limits limits);
/// Like the other fetch(), with an exchange of the caller, which can cancel it. The arguments must stay valid
/// until the end.
[[nodiscard]] boost::asio::awaitable<response> fetch(client_exchange& exchange, const endpoint& server,
                                                     const request& call);

/// Parses an IP address and a port, such as "127.0.0.1:8080" or "[::1]:8080". Host names aren't resolved.
/// Throws std::invalid_argument.
[[nodiscard]] endpoint parse_endpoint(const std::string& text);
/// Formats an address in the form that parse_endpoint() reads.
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace borageford::http
