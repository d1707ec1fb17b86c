// HTTP calls that model_engine and plain_service share.
#pragma once

#include "backend/backend_types.hpp"
#include "base/identifier.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace borageford::backend {

/// Maps an HTTP error to the failure of a call to a backend server.
[[nodiscard]] failure to_failure(const http::exchange_error& error) noexcept;

/// Builds the HTTP request for a call. The dispatch's id is sent in the header X-Request-Id.
[[nodiscard]] http::request make_call(dispatch_id dispatch, const call& work);

/// Sends a request and returns the complete response. Each step (connecting, waiting for the head, and each
/// piece of the body) may take up to `limit`. Throws backend_error.
boost::asio::awaitable<http::response> exchange(const boost::asio::any_io_executor& executor,
                                                const http::endpoint& server, const http::request& request,
                                                std::chrono::milliseconds limit);

/// Whether the server answers GET /health, with any status; each step may take up to `limit`.
boost::asio::awaitable<bool> check_life(const boost::asio::any_io_executor& executor,
                                        const http::endpoint& server, std::chrono::milliseconds limit);

/// Whether the server answers GET /health with status 200; each step may take up to `limit`.
boost::asio::awaitable<bool> check_health(const boost::asio::any_io_executor& executor,
                                          const http::endpoint& server, std::chrono::milliseconds limit);

} // namespace borageford::backend
