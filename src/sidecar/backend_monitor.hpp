// Watches whether the backend server is alive.
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

/// Used on its strand, but for is_up(). It's down until a first check says otherwise.
class backend_monitor {
public:
    struct callbacks {
        std::function<void()> came_up;
        /// Called at once when the loss is noticed, before anyone else learns of it.
        std::function<void()> went_down;
    };

    backend_monitor(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                    backend::backend_server& server, std::chrono::milliseconds period);

    void start(callbacks calls);
    void stop();

    [[nodiscard]] bool is_up() const noexcept { return m_is_up.load(); }
    /// Counts the lives of the backend server as far as they have been told apart.
    [[nodiscard]] std::uint64_t epoch() const noexcept { return m_epoch; }

    /// A dispatch that was started in this epoch found the server gone, or without memory of it.
    void report_lost(std::uint64_t epoch);

    /// When a caller should come back: as long as the server has been away, since how long it stays away is
    /// learned only by waiting; between a second and half a minute.
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
    unsigned m_failed_checks = 0; ///< in a row
    std::uint64_t m_epoch = 0;
    policy::time_point m_down_since = std::chrono::steady_clock::now();
};

} // namespace borageford::sidecar
