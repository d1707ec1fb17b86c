// Shuts a gateway down gracefully: running requests are completed, and new ones are served as long as there
// is time.
#pragma once

#include "base/timer_service.hpp"
#include "gateway/gateway_context.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

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
    void finish();
    void close_idle_sessions();

    gateway_context& m_context;
    boost::asio::ip::tcp::acceptor& m_acceptor;
    std::function<void()> m_on_stopped;
    clock::time_point m_begin;
    timer_subscription m_timer;
};

} // namespace borageford::gateway
