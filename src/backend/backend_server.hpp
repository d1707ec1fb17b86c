// The backend server that a sidecar works for, which is either a model engine or a plain service.
#pragma once

#include "backend/model_engine.hpp"
#include "backend/plain_service.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace borageford::backend {

/// The common interface of model_engine and plain_service. A plain service can't resume or cancel an answer:
/// resume() then returns std::nullopt and cancel() returns false.
class backend_server {
public:
    using server = std::variant<model_engine, plain_service>;

    explicit backend_server(server kind);
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;
    backend_server(backend_server&&) = delete;
    backend_server& operator=(backend_server&&) = delete;
    ~backend_server() = default;

    /// Uses another server from now on; called when the configuration names another kind of backend server.
    void replace(server kind);

    [[nodiscard]] bool is_engine() const noexcept;
    /// Null for a plain service.
    [[nodiscard]] model_engine* as_engine() noexcept;

    /// Makes a call under the dispatch's id and reads the head of the answer into `stream`. Throws
    /// backend_error.
    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);
    /// See model_engine::resume().
    boost::asio::awaitable<std::optional<answer_head>> resume(answer_stream& stream, dispatch_id dispatch,
                                                              std::uint64_t offset);
    /// See model_engine::cancel().
    boost::asio::awaitable<bool> cancel(dispatch_id dispatch);
    /// Whether the server answers a health check in time.
    boost::asio::awaitable<bool> is_healthy();
    /// Whether the server answers a health check in time, whatever it says of its health.
    boost::asio::awaitable<bool> is_alive();

private:
    /// All servers that were set; the last one is in use. The previous ones are kept because a call in
    /// progress, such as the health check at the start, still uses the object it was started on; destroying
    /// that object made requests hang.
    std::deque<server> m_servers;
};

} // namespace borageford::backend
