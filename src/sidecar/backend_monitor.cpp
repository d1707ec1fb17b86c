// Implementation of backend_monitor: periodic health checks of the backend server.
#include "sidecar/backend_monitor.hpp"

#include "base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;

/// Failed health checks in a row after which the server counts as down. A single check may fail just because
/// the server is busy.
constexpr unsigned failed_checks_limit = 3;
constexpr std::chrono::milliseconds shortest_retry{1000};
constexpr std::chrono::milliseconds longest_retry{30'000};

} // namespace

backend_monitor::backend_monitor(asio::strand<asio::any_io_executor> strand, timer_service& timers,
                                 backend::backend_server& server, std::chrono::milliseconds period)
    : m_strand(std::move(strand)), m_timers(timers), m_server(server), m_period(period) {}

void backend_monitor::start(callbacks calls) {
    m_calls = std::move(calls);
    m_timer = m_timers.every(m_strand, m_period, [this] { check_soon(); });
    check_soon();
}

void backend_monitor::stop() {
    m_is_stopped = true;
    m_timer.cancel();
}

void backend_monitor::check_soon() {
    if (m_is_checking || m_is_stopped) {
        return;
    }
    m_is_checking = true;
    asio::co_spawn(m_strand, check(), asio::detached);
}

asio::awaitable<void> backend_monitor::check() {
    const auto epoch = m_epoch;
    const auto is_healthy = co_await m_server.is_healthy();
    m_is_checking = false;
    if (epoch != m_epoch || m_is_stopped) {
        co_return; // The server was found to be down while this check ran, so the result of the check is
                   // outdated.
    }
    if (is_healthy) {
        set_up();
        co_return;
    }
    ++m_failed_checks;
    if (m_failed_checks >= failed_checks_limit) {
        set_down();
    }
}

void backend_monitor::report_lost(std::uint64_t epoch) {
    if (epoch == m_epoch && m_is_up) {
        set_down();
    }
}

void backend_monitor::set_up() {
    m_failed_checks = 0;
    if (m_is_up.exchange(true)) {
        return;
    }
    log::info("backend_up");
    m_calls.came_up();
}

void backend_monitor::set_down() {
    if (!m_is_up.exchange(false)) {
        return;
    }
    ++m_epoch;
    m_down_since = std::chrono::steady_clock::now();
    log::warning("backend_down");
    m_calls.went_down();
}

std::chrono::milliseconds backend_monitor::retry_after(policy::time_point now) const {
    const auto down_time = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_down_since);
    return std::clamp(down_time, shortest_retry, longest_retry);
}

} // namespace borageford::sidecar
