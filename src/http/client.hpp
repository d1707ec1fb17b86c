// An HTTP/1.1 client for one exchange at a time, read whole or piece by piece.
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

/// Where an exchange failed, which decides whether the server can have acted on the request.
enum class exchange_stage : std::uint8_t {
    connecting, ///< nothing was sent
    sending,    ///< some of the request may have arrived
    waiting,    ///< all was sent, no head came
    reading,    ///< the answer was cut in the middle
};

/// A connection refused, cut, silent past its limit, or an answer that isn't HTTP.
class exchange_error : public std::runtime_error {
public:
    exchange_error(exchange_stage stage, bool timed_out, const std::string& text)
        : std::runtime_error(text), m_stage(stage), m_timed_out(timed_out) {}
    [[nodiscard]] exchange_stage stage() const noexcept { return m_stage; }
    [[nodiscard]] bool has_timed_out() const noexcept { return m_timed_out; }

private:
    exchange_stage m_stage;
    bool m_timed_out;
};

/// Times within which each step must make progress.
struct exchange_limits {
    std::chrono::milliseconds connect{2000};
    /// From the request's last byte to the answer's head.
    std::chrono::milliseconds head{30000};
    /// Between two pieces of the body.
    std::chrono::milliseconds idle{30000};
    std::size_t body_limit = 64U * 1024 * 1024;
};

/// One exchange whose answer is read as it comes. Not for use from two coroutines at once.
class client_exchange {
public:
    client_exchange(const boost::asio::any_io_executor& executor, exchange_limits limits);
    ~client_exchange();
    client_exchange(const client_exchange&) = delete;
    client_exchange& operator=(const client_exchange&) = delete;
    client_exchange(client_exchange&&) = delete;
    client_exchange& operator=(client_exchange&&) = delete;

    /// Connects, sends the request and reads the head of the answer. Throws exchange_error.
    boost::asio::awaitable<response_head> send(const endpoint& server, const request& call);

    /// The next piece of the body; empty only at the body's true end. Throws exchange_error when the body
    /// is cut short of its length or its last chunk.
    boost::asio::awaitable<std::string> read_some();

    /// Ends the exchange at once; a read that waits throws. On the exchange's own executor only.
    void cancel() noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// A whole exchange. Throws exchange_error. The executor is a value: a reference to a converted temporary
/// would be gone when the coroutine first runs. `server` and `call` must outlive it.
boost::asio::awaitable<response> fetch(boost::asio::any_io_executor executor, const endpoint& server,
                                       const request& call, exchange_limits limits);

/// Reads "address:port", an IP number and a port. Throws std::invalid_argument.
[[nodiscard]] endpoint parse_endpoint(const std::string& text);
[[nodiscard]] std::string to_string(const endpoint& address);

} // namespace borageford::http
