// Checks periodically whether the backend server is alive and reports when it goes down or comes up.
#pragma once

#include "backend/backend_server.hpp"
#include "base/timer_service.hpp"
#include "policy/time.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>

namespace borageford::sidecar {

/// Monitors the backend server. is_up() may be called from any thread, all other functions only on the
/// strand. The server counts as down until the first health check has succeeded.
class backend_monitor {
public:
    struct callbacks {
        /// The server answered a health check and had been down before.
        std::function<void()> came_up;
        /// The server was found to be down. Called before the function that found it returns, so before any
        /// request is reported as failed because of it.
        std::function<void()> went_down;
    };

    backend_monitor(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                    backend::backend_server& server, std::chrono::milliseconds period);

    /// Checks now and then once every period.
    void start(callbacks calls);
    void stop();

    [[nodiscard]] bool is_up() const noexcept { return m_is_up.load(); }
    /// The number of times that the server was found to be down. Calls made in different epochs may have
    /// reached different processes of the server.
    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    /// A dispatch that was started in `epoch` found that the server is down or has restarted and lost the
    /// dispatch. Ignored when the server has already been found to be down since.
    void report_lost(std::uint64_t epoch);

    /// How long a refused caller should wait before it retries: the time for which the server has been down
    /// so far, because nothing else is known about how long it will stay down. Between 1 and 30 seconds.
    [[nodiscard]] std::chrono::milliseconds retry_after(policy::time_point now) const;

private:
    void check_soon();
    boost::asio::awaitable<void> check();
    void set_up();
    void set_down();

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    timer_service& m_timers;
    backend::backend_server& m_server;
    std::chrono::milliseconds m_period;
    callbacks m_calls;
    timer_subscription m_timer;
    std::atomic<bool> m_is_up = false;
    bool m_is_checking = false;
    bool m_is_stopped = false;
    unsigned m_failed_checks = 0; ///< failed health checks in a row
    std::uint64_t m_epoch = 0;
    policy::time_point m_down_since = std::chrono::steady_clock::now();
};

} // namespace borageford::sidecar
