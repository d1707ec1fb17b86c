// A client for plain services: they accept any HTTP call, but can't resume answers and get no orders.
#pragma once

#include "backend/answer_stream.hpp"
#include "backend/backend_types.hpp"
#include "base/identifier.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace borageford::backend {

/// Calls one plain service.
class plain_service {
public:
    plain_service(boost::asio::any_io_executor executor, http::endpoint address,
                  std::chrono::milliseconds control_timeout);

    /// Makes a call under the dispatch's id and returns the head of the answer; the body is read from
    /// `stream`. Throws backend_error.
    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);
    /// Whether the service answers a health check in time.
    boost::asio::awaitable<bool> is_healthy();
    /// Whether the service answers a health check in time, whatever it says of its health.
    boost::asio::awaitable<bool> is_alive();

private:
    boost::asio::any_io_executor m_executor;
    http::endpoint m_address;
    std::chrono::milliseconds m_control_timeout;
};

} // namespace borageford::backend
