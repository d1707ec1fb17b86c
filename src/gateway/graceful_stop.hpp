// Shuts a gateway down gracefully: running requests are completed, and new ones are served as long as there
// is time. Those that still run when the time is over are answered by the gateway.
#pragma once

#include "base/timer_service.hpp"
#include "gateway/gateway_context.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace borageford::gateway {

/// The limits of the phases are in gateway_context::stopping.
class graceful_stop {
public:
    /// `acceptor` is closed towards the end. `on_stopped` is called once, when no connection is left or the
    /// time is over.
    graceful_stop(gateway_context& context, boost::asio::ip::tcp::acceptor& acceptor,
                  std::function<void()> on_stopped);

    /// Starts the shutdown. Must be called once.
    void begin();

private:
    using clock = std::chrono::steady_clock;

    void check_progress();
    void end_requests();
    void finish();
    void close_idle_sessions();

    gateway_context& m_context;
    boost::asio::ip::tcp::acceptor& m_acceptor;
    std::function<void()> m_on_stopped;
    clock::time_point m_begin;
    timer_subscription m_timer;
    std::optional<std::size_t> m_cut_requests; ///< that still ran when the time was over
};

} // namespace borageford::gateway
