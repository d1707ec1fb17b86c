// Forwards each call to the current model_engine or plain_service.
#include "backend/backend_server.hpp"

#include <type_traits>
#include <utility>

namespace borageford::backend {

namespace asio = boost::asio;

backend_server::backend_server(server kind) {
    replace(std::move(kind));
}

void backend_server::replace(server kind) {
    m_servers.push_back(std::move(kind));
}

bool backend_server::is_engine() const noexcept {
    return std::holds_alternative<model_engine>(m_servers.back());
}

model_engine* backend_server::as_engine() noexcept {
    return std::get_if<model_engine>(&m_servers.back());
}

asio::awaitable<answer_head> backend_server::run(answer_stream& stream, dispatch_id dispatch,
                                                 const call& work) {
    return std::visit([&](auto& kind) { return kind.run(stream, dispatch, work); }, m_servers.back());
}

asio::awaitable<std::optional<answer_head>>
backend_server::resume(answer_stream& stream, dispatch_id dispatch, std::uint64_t offset) {
    if (auto* engine = as_engine()) {
        co_return co_await engine->resume(stream, dispatch, offset);
    }
    co_return std::nullopt;
}

asio::awaitable<bool> backend_server::cancel(dispatch_id dispatch) {
    if (auto* engine = as_engine()) {
        co_return co_await engine->cancel(dispatch);
    }
    co_return false;
}

asio::awaitable<bool> backend_server::is_alive() {
    return std::visit([](auto& kind) { return kind.is_alive(); }, m_servers.back());
}

asio::awaitable<bool> backend_server::is_healthy() {
    return std::visit([](auto& kind) { return kind.is_healthy(); }, m_servers.back());
}

} // namespace borageford::backend
