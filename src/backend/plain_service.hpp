// A plain service's protocol: any HTTP call, without resuming or orders.
#pragma once

#include "backend/answer_stream.hpp"
#include "backend/backend_types.hpp"
#include "base/identifier.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace borageford::backend {

class plain_service {
public:
    plain_service(boost::asio::any_io_executor executor, http::endpoint address,
                  std::chrono::milliseconds control_timeout);

    /// Makes a call under the dispatch's id. Throws backend_error.
    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);
    boost::asio::awaitable<bool> is_healthy();

private:
    boost::asio::any_io_executor m_executor;
    http::endpoint m_address;
    std::chrono::milliseconds m_control_timeout;
};

} // namespace borageford::backend
