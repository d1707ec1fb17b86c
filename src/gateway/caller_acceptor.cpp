// Implementation of caller_acceptor.
#include "gateway/caller_acceptor.hpp"

#include "events/event_log.hpp"
#include "gateway/client_session.hpp"
#include "net/listening.hpp"
#include "net/tcp_options.hpp"

#include <algorithm>
#include <utility>

namespace borageford::gateway {

using boost::asio::ip::tcp;

namespace {

/// Length of the queue of connections that wait to be accepted. Callers connect in bursts, and a full queue
/// would drop their first packets, which are repeated only after seconds.
constexpr int listen_backlog = 4096;
/// Delay after a failed accept, for example when no descriptor is free. Retrying at once would be a busy
/// loop.
constexpr milliseconds accept_pause{100};

} // namespace

caller_acceptor::caller_acceptor(gateway_context& context, std::size_t limit)
    : m_context(context), m_limit(limit), m_acceptor(context.executor) {}

void caller_acceptor::listen(const tcp::endpoint& address) {
    net::listen(m_acceptor, address, listen_backlog);
    net::limit_received(m_acceptor);
    if (m_context.unread.is_bounded()) {
        net::limit_unsent(m_acceptor);
    }
    accept();
}

void caller_acceptor::accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            events::write(events::event_kind::accept_failed, {{"reason", error.message()}});
            close_longest_waiting();
            m_retry = m_context.timers.after(m_context.executor, accept_pause, [this] { accept(); });
            return;
        }
        add(std::move(socket));
        accept();
    });
}

void caller_acceptor::add(tcp::socket socket) {
    if (*m_open >= m_limit && !close_longest_waiting()) {
        events::write(events::event_kind::caller_turned_away, {{"connections", std::uint64_t(*m_open)}});
        return;
    }
    ++*m_open;
    const std::shared_ptr<void> place(nullptr, [open = m_open](void*) { --*open; });
    std::make_shared<client_session>(m_context, std::move(socket), place)->start();
}

bool caller_acceptor::close_longest_waiting() {
    const auto& sessions = m_context.sessions;
    const auto longest = std::ranges::min_element(sessions, {}, [](const client_session* session) {
        return std::pair(session->progress(), session->waiting_since());
    });
    if (longest == sessions.end() || (*longest)->progress() == client_session::stage::answering) {
        return false;
    }
    events::write(events::event_kind::caller_turned_away, {{"connections", std::uint64_t(*m_open)}});
    (*longest)->close_for_others();
    return true;
}

} // namespace borageford::gateway
