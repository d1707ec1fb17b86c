// Reads the answer of a backend server in pieces.
#pragma once

#include "backend/backend_types.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace borageford::backend {

/// Timeouts for the steps of an answer, and the limit on the size of its body.
struct stream_limits {
    std::chrono::milliseconds connect{1000}; ///< longest time to connect
    std::chrono::milliseconds head{60'000};  ///< longest time from sending the call to the head of the answer
    std::chrono::milliseconds idle{10'000};  ///< longest time between two pieces of the answer
    std::size_t body_bytes = 16U * 1024 * 1024;
};

/// The answer to one call. All functions must be called on the executor that was passed to the constructor;
/// open() and read_some() throw backend_error.
class answer_stream {
public:
    answer_stream(const boost::asio::any_io_executor& executor, stream_limits limits);

    /// Sends the request and reads the head of the answer.
    boost::asio::awaitable<answer_head> open(const http::endpoint& server, const http::request& request);

    /// Returns the next piece of the answer, or an empty string at its end.
    boost::asio::awaitable<std::string> read_some();

    /// Whether only the end of the connection ends the answer. Valid after open().
    [[nodiscard]] bool ends_with_connection() const noexcept { return m_exchange.ends_with_connection(); }

    /// Closes the connection; a pending call throws.
    void cancel() noexcept;

private:
    http::client_exchange m_exchange;
};

} // namespace borageford::backend
