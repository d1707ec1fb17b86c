// Implements the HTTP calls that model_engine and plain_service share.
#include "backend/http_exchange.hpp"

#include <optional>

namespace borageford::backend {
namespace {

constexpr unsigned status_ok = 200;
/// Largest accepted answer to a control call in bytes.
constexpr std::size_t control_body_limit = 4U * 1024 * 1024;

/// The status of the answer to a health check; nothing if there is none in time.
boost::asio::awaitable<std::optional<unsigned>> fetch_health_status(boost::asio::any_io_executor executor,
                                                                    http::endpoint server,
                                                                    std::chrono::milliseconds limit) {
    http::request request;
    request.target = "/health";
    try {
        const auto answer = co_await exchange(executor, server, request, limit);
        co_return answer.head.status;
    } catch (const backend_error&) {
        co_return std::nullopt;
    }
}

} // namespace

failure to_failure(const http::exchange_error& error) noexcept {
    if (error.stage() == http::exchange_stage::connecting) {
        return failure::unreachable;
    }
    return error.has_timed_out() ? failure::timed_out : failure::connection_broken;
}

http::request make_call(dispatch_id dispatch, const call& work) {
    http::request request;
    request.method = work.method;
    request.target = work.path;
    request.body = work.body;
    request.headers.push_back({"X-Request-Id", dispatch.to_string()});
    if (!work.content_type.empty()) {
        request.headers.push_back({"Content-Type", work.content_type});
    }
    return request;
}

boost::asio::awaitable<http::response> exchange(const boost::asio::any_io_executor& executor,
                                                const http::endpoint& server, const http::request& request,
                                                std::chrono::milliseconds limit) {
    try {
        auto limits = http::exchange_limits::for_step(limit);
        limits.body_limit = control_body_limit;
        co_return co_await http::fetch(executor, server, request, limits);
    } catch (const http::exchange_error& error) {
        throw backend_error(to_failure(error), error.what());
    }
}

boost::asio::awaitable<bool> check_life(const boost::asio::any_io_executor& executor,
                                        const http::endpoint& server, std::chrono::milliseconds limit) {
    const auto status = co_await fetch_health_status(executor, server, limit);
    co_return status.has_value();
}

boost::asio::awaitable<bool> check_health(const boost::asio::any_io_executor& executor,
                                          const http::endpoint& server, std::chrono::milliseconds limit) {
    const auto status = co_await fetch_health_status(executor, server, limit);
    co_return status == status_ok;
}

} // namespace borageford::backend
