// A client for the protocol of model engines, which docs/INTERFACES.md describes.
#pragma once

#include "backend/answer_stream.hpp"
#include "backend/backend_types.hpp"
#include "base/identifier.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>

namespace borageford::backend {

/// Calls one model engine. All coroutines but is_healthy() and is_alive() throw backend_error when the engine
/// can't be reached, doesn't answer in time or answers with an error.
class model_engine {
public:
    model_engine(boost::asio::any_io_executor executor, http::endpoint address,
                 std::chrono::milliseconds control_timeout);

    /// Makes a call under the dispatch's id and returns the head of the answer; the body is read from
    /// `stream`.
    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);

    /// Requests the answer of a dispatch that is running or has run, from byte `offset` on. Returns
    /// std::nullopt when the engine doesn't know the dispatch.
    boost::asio::awaitable<std::optional<answer_head>> resume(answer_stream& stream, dispatch_id dispatch,
                                                              std::uint64_t offset);

    /// Cancels a dispatch. Returns whether the engine knew it.
    boost::asio::awaitable<bool> cancel(dispatch_id dispatch);

    /// Reads the engine's load.
    boost::asio::awaitable<engine_load> load();
    /// Reads the cache events after the number `after`, which is the `next` of the previous batch.
    boost::asio::awaitable<cache_event_batch> cache_events(std::uint64_t after);
    /// Reads the engine's loaded models and adapters and its role.
    boost::asio::awaitable<engine_state> state();
    /// Sends an order. The engine must answer within `limit`, because the order is void when the sender's
    /// lease has expired.
    boost::asio::awaitable<order_result> send_order(const order& command, std::chrono::milliseconds limit);
    /// Whether the engine answers a health check in time.
    boost::asio::awaitable<bool> is_healthy();
    /// Whether the engine answers a health check in time, whatever it says of its health.
    boost::asio::awaitable<bool> is_alive();

private:
    /// Sends a request to the engine and returns the response; throws backend_error.
    boost::asio::awaitable<http::response> send_control_request(std::string method, std::string target,
                                                                std::string body,
                                                                std::chrono::milliseconds limit);

    boost::asio::any_io_executor m_executor;
    http::endpoint m_address;
    std::chrono::milliseconds m_control_timeout;
};

} // namespace borageford::backend
