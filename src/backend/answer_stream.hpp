// One answer of a backend server, read piece by piece.
#pragma once

#include "backend/backend_types.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <string>

namespace borageford::backend {

/// When an answer counts as stuck.
struct stream_limits {
    std::chrono::milliseconds connect{1000};
    std::chrono::milliseconds head{60'000}; ///< from the call's last byte to the answer's head
    std::chrono::milliseconds idle{10'000}; ///< between two pieces
    std::size_t body_bytes = 16U * 1024 * 1024;
};

/// Runs on the executor it was made with, and is cancelled there. Every call throws backend_error.
class answer_stream {
public:
    answer_stream(const boost::asio::any_io_executor& executor, stream_limits limits);

    /// Sends the request and reads the head.
    boost::asio::awaitable<answer_head> open(const http::endpoint& server, const http::request& request);

    /// The next piece; empty only at the answer's true end.
    boost::asio::awaitable<std::string> read_some();

    /// Ends it at once: a call that waits throws.
    void cancel() noexcept;

private:
    http::client_exchange m_exchange;
};

} // namespace borageford::backend
