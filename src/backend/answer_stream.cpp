// Reads an answer through http::client_exchange and converts its errors to backend_error.
#include "backend/answer_stream.hpp"

#include "backend/http_exchange.hpp"

namespace borageford::backend {
namespace {

http::exchange_limits to_exchange_limits(const stream_limits& limits) {
    http::exchange_limits out;
    out.connect = limits.connect;
    out.head = limits.head;
    out.idle = limits.idle;
    out.body_limit = limits.body_bytes;
    return out;
}

} // namespace

answer_stream::answer_stream(const boost::asio::any_io_executor& executor, stream_limits limits)
    : m_exchange(executor, to_exchange_limits(limits)) {}

boost::asio::awaitable<answer_head> answer_stream::open(const http::endpoint& server,
                                                        const http::request& request) {
    try {
        const auto head = co_await m_exchange.send(server, request);
        const auto type = http::find_header(head.headers, "Content-Type");
        co_return answer_head{head.status, std::string(type.value_or(""))};
    } catch (const http::exchange_error& error) {
        throw backend_error(to_failure(error), error.what());
    }
}

boost::asio::awaitable<std::string> answer_stream::read_some() {
    try {
        co_return co_await m_exchange.read_some();
    } catch (const http::exchange_error& error) {
        throw backend_error(to_failure(error), error.what());
    }
}

void answer_stream::cancel() noexcept {
    m_exchange.cancel();
}

} // namespace borageford::backend
