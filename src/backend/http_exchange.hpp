// What the calls to engines and to plain services have in common.
#pragma once

#include "backend/backend_types.hpp"
#include "base/identifier.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace borageford::backend {

/// What a failed exchange means for the dispatch that it served.
[[nodiscard]] failure meaning_of(const http::exchange_error& error) noexcept;

/// The request that carries a dispatch's call.
[[nodiscard]] http::request make_call(dispatch_id dispatch, const call& work);

/// One small exchange, each of its steps within `limit`. Throws backend_error.
boost::asio::awaitable<http::response> exchange(const boost::asio::any_io_executor& executor,
                                                const http::endpoint& server, const http::request& request,
                                                std::chrono::milliseconds limit);

/// Whether GET /health is answered with 200 in time.
boost::asio::awaitable<bool> answers_health(const boost::asio::any_io_executor& executor,
                                            const http::endpoint& server, std::chrono::milliseconds limit);

} // namespace borageford::backend
