// Implementation of graceful_stop: a timer checks which step of the shutdown has been reached.
#include "gateway/graceful_stop.hpp"

#include "events/event_log.hpp"
#include "gateway/client_session.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace {

constexpr milliseconds check_period{50};
/// The load balancer checks readiness once a second and removes a process after two failed checks. Until then
/// callers are sent to this process and are served, and idle connections stay open for them.
constexpr milliseconds balancer_delay{2600};
/// Reserved before the time at which the process is killed, for the last bytes to be sent.
constexpr milliseconds exit_margin{300};

} // namespace

graceful_stop::graceful_stop(gateway_context& context, boost::asio::ip::tcp::acceptor& acceptor,
                             std::function<void()> on_stopped)
    : m_context(context), m_acceptor(acceptor), m_on_stopped(std::move(on_stopped)) {}

void graceful_stop::begin() {
    m_begin = clock::now();
    m_context.stopping =
        stop_times{m_begin + balancer_delay, m_begin + m_context.settings.stop_limit - exit_margin};
    events::write(events::event_kind::stop_requested,
                  {{"requests", std::uint64_t(m_context.requests_in_progress)},
                   {"connections", std::uint64_t(m_context.sessions.size())}});
    m_context.slots.leave();
    m_timer = m_context.timers.every(m_context.executor, check_period, [this] { check_progress(); });
}

void graceful_stop::check_progress() {
    const auto now = clock::now();
    const bool is_over = now >= m_context.stopping->ends_at;
    if (now < m_context.stopping->accepts_all_until && !is_over) {
        return;
    }
    close_idle_sessions();
    if (m_context.requests_in_progress > 0 && !is_over) {
        return;
    }
    if (m_context.requests_in_progress > 0 && !m_cut_requests.has_value()) {
        end_requests(); // their answers have until the next check to leave the process
        return;
    }
    boost::system::error_code ignored; // the process exits, so a failure has no consequence
    m_acceptor.close(ignored);
    if (is_over || m_context.sessions.empty()) {
        finish();
    }
}

void graceful_stop::finish() {
    const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - m_begin);
    events::write(events::event_kind::stopped, {{"requests_cut", std::uint64_t(m_cut_requests.value_or(0))},
                                                {"connections_cut", std::uint64_t(m_context.sessions.size())},
                                                {"stopping_ms", std::int64_t(took.count())}});
    events::flush();
    m_timer.cancel();
    m_on_stopped();
}

/// Answers the requests that still run. Without an answer, their callers couldn't tell the end of this
/// process from a failure of their connection, nor those that haven't run from the others.
void graceful_stop::end_requests() {
    m_cut_requests = m_context.requests_in_progress;
    std::vector<client_session*> open(m_context.sessions.begin(), m_context.sessions.end());
    // Those that wait come first, since the slots of the others would be granted to them.
    std::ranges::partition(open, [](const auto* session) { return !session->has_sent_request(); });
    for (auto* session : open) {
        session->end_request();
    }
}

void graceful_stop::close_idle_sessions() {
    const auto open = m_context.sessions; // a copy, since closing a session removes it from the set
    for (auto* session : open) {
        session->close_if_idle();
    }
}

} // namespace borageford::gateway
