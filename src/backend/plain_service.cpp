// Implements the calls to a plain service.
#include "backend/plain_service.hpp"

#include "backend/http_exchange.hpp"

#include <utility>

namespace borageford::backend {

plain_service::plain_service(boost::asio::any_io_executor executor, http::endpoint address,
                             std::chrono::milliseconds control_timeout)
    : m_executor(std::move(executor)), m_address(std::move(address)), m_control_timeout(control_timeout) {}

boost::asio::awaitable<answer_head> plain_service::run(answer_stream& stream, dispatch_id dispatch,
                                                       const call& work) {
    const auto request = make_call(dispatch, work);
    co_return co_await stream.open(m_address, request);
}

boost::asio::awaitable<bool> plain_service::is_healthy() {
    co_return co_await check_health(m_executor, m_address, m_control_timeout);
}

boost::asio::awaitable<bool> plain_service::is_alive() {
    co_return co_await check_life(m_executor, m_address, m_control_timeout);
}

} // namespace borageford::backend
