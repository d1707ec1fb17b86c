// The model engine's protocol, as docs/INTERFACES.md describes it.
#pragma once

#include "backend/answer_stream.hpp"
#include "backend/backend_types.hpp"
#include "base/identifier.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>

namespace borageford::backend {

/// Every call throws backend_error when the engine doesn't answer it as it should.
class model_engine {
public:
    model_engine(boost::asio::any_io_executor executor, http::endpoint address,
                 std::chrono::milliseconds control_timeout);

    /// Runs a call under the dispatch's id.
    boost::asio::awaitable<answer_head> run(answer_stream& stream, dispatch_id dispatch, const call& work);

    /// The answer of a dispatch that it ran or runs, from byte `offset` on. Nothing when it doesn't know it.
    boost::asio::awaitable<std::optional<answer_head>> resume(answer_stream& stream, dispatch_id dispatch,
                                                              std::uint64_t offset);

    /// Ends a dispatch. Returns whether the engine knew it.
    boost::asio::awaitable<bool> cancel(dispatch_id dispatch);

    boost::asio::awaitable<engine_load> load();
    boost::asio::awaitable<cache_event_batch> cache_events(std::uint64_t after);
    boost::asio::awaitable<engine_state> state();
    /// Must be answered within `limit`: an order is worth nothing after its lease.
    boost::asio::awaitable<order_result> give_order(const order& command, std::chrono::milliseconds limit);
    boost::asio::awaitable<bool> is_healthy();

private:
    boost::asio::awaitable<http::response> ask(std::string method, std::string target, std::string body,
                                               std::chrono::milliseconds limit);

    boost::asio::any_io_executor m_executor;
    http::endpoint m_address;
    std::chrono::milliseconds m_control_timeout;
};

} // namespace borageford::backend
