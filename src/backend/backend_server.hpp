// The one backend server beside a sidecar, whichever kind it is.
#pragma once

#include "backend/model_engine.hpp"
#include "backend/plain_service.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace borageford::backend {

/// Calls that a kind can't serve say so: a plain service knows no streams to resume or cancel.
class backend_server {
public:
    using server = std::variant<model_engine, plain_service>;

    explicit backend_server(server kind);
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;
    backend_server(backend_server&&) = delete;
    backend_server& operator=(backend_server&&) = delete;
    ~backend_server() = default;

    /// The configuration says that another kind stands here.
    void replace(server kind);

    [[nodiscard]] bool is_engine() const noexcept;
    /// Null for a plain service.
    [[nodiscard]] model_engine* as_engine() noexcept;

    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);
    boost::asio::awaitable<std::optional<answer_head>> resume(answer_stream& stream, dispatch_id dispatch,
                                                              std::uint64_t offset);
    boost::asio::awaitable<bool> cancel(dispatch_id dispatch);
    boost::asio::awaitable<bool> is_healthy();

private:
    /// The last one is in force. Those before it stay: a call in progress, such as the health check at the
    /// start, still uses the kind that it began with, and destroying that one under it let requests hang.
    std::deque<server> m_kinds;
};

} // namespace borageford::backend
