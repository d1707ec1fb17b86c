// Implementation of crash_watch: a check opens one connection, which becomes an idle one if it is accepted.
#include "gateway/crash_watch.hpp"

#include "events/event_log.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long a check waits for its connection. Within a region, a connection is refused in a few milliseconds.
constexpr milliseconds check_timeout{300};
/// How long a request that broke off waits for the check before it is sent to another server: several round
/// trips, so that this server's crash is known if the server refuses connections.
constexpr milliseconds check_patience{100};
/// After this time, a server is checked on which a request was abandoned, or that has closed the connection
/// of a check. If a request crashes servers, it has done so by then, unless it still waits in the server's
/// queue.
constexpr milliseconds later_check_delay{300};
/// A connection that a check has opened is kept for the next request for this long.
constexpr milliseconds keep_checked{1000};

bool may_have_crashed(const backend& server) {
    return server.is_registered() && server.record().state == routing::backend_state::ready;
}

} // namespace

crash_watch::crash_watch(asio::any_io_executor executor, timer_service& timers,
                         coordination::slot_broker& slots)
    : m_executor(std::move(executor)), m_timers(timers), m_slots(slots) {}

void crash_watch::record_broken(const std::shared_ptr<backend>& server, suspects ended,
                                std::function<void()> on_checked) {
    const auto key = server->record().key();
    if (!may_have_crashed(*server)) {
        on_checked();
        return;
    }
    if (m_suspects.record_end(key, ended, policy::unanswered_end::broken, clock::now())) {
        report(*server, ended, "the server is known to have ended");
        on_checked();
        return;
    }
    wait_for_check(server, std::move(on_checked));
}

std::shared_ptr<liveness_watch> crash_watch::watch(const std::shared_ptr<backend>& server) {
    std::erase_if(m_watches, [](const auto& entry) { return entry.second.expired(); });
    auto& known = m_watches[server.get()];
    auto liveness = known.lock();
    if (liveness == nullptr) {
        liveness = std::make_shared<liveness_watch>(m_executor, server);
        liveness->open();
        known = liveness;
    }
    return liveness;
}

void crash_watch::check_alive(const std::shared_ptr<backend>& server,
                              const std::shared_ptr<liveness_watch>& liveness,
                              std::function<void(bool)> on_checked) {
    const auto timer = std::make_shared<asio::steady_timer>(m_executor, liveness_watch::settling_time);
    timer->async_wait([this, timer, server, liveness,
                       on_checked = std::move(on_checked)](const boost::system::error_code&) {
        const auto sign = liveness->read(clock::now());
        // A server that leaves may stop listening before it ends its last answers.
        const bool has_ended = sign == liveness_watch::sign::ended_refused ||
                               (sign == liveness_watch::sign::refused && may_have_crashed(*server));
        if (has_ended) {
            record_crash(*server);
        }
        on_checked(!has_ended);
    });
}

void crash_watch::wait_for_check(const std::shared_ptr<backend>& server, std::function<void()> on_checked) {
    begin_check(server);
    const auto key = server->record().key();
    auto& running = m_checks.at(key);
    running.waiting.push_back(std::move(on_checked));
    if (!running.patience.is_active()) {
        running.patience = m_timers.after(m_executor, check_patience, [this, key] { release_waiting(key); });
    }
}

void crash_watch::record_abandoned(const std::shared_ptr<backend>& server, suspects ended,
                                   clock::time_point sent) {
    // A server that had gone dark before the request was sent wasn't crashed by it.
    if (!may_have_crashed(*server) || server->last_life() < sent) {
        return;
    }
    const auto key = server->record().key();
    if (m_suspects.record_end(key, ended, policy::unanswered_end::abandoned, clock::now())) {
        report(*server, ended, "the server is known to have ended");
        return;
    }
    plan_check(server);
}

/// Checks the server later, if it has shown no life until then.
void crash_watch::plan_check(const std::shared_ptr<backend>& server) {
    const auto key = server->record().key();
    auto& planned = m_planned[key];
    if (planned.is_active()) {
        return;
    }
    planned = m_timers.after(m_executor, later_check_delay, [this, key, server, since = clock::now()] {
        m_planned.erase(key);
        if (server->last_life() < since && m_suspects.has_suspects(key)) {
            begin_check(server);
        }
    });
}

void crash_watch::begin_check(const std::shared_ptr<backend>& server) {
    const auto key = server->record().key();
    const auto [entry, is_new] = m_checks.try_emplace(key);
    if (!is_new) {
        return;
    }
    auto& begun = entry->second;
    begun.socket = std::make_shared<asio::ip::tcp::socket>(m_executor);
    begun.socket->async_connect(
        server->record().address,
        [this, key, server](const boost::system::error_code& error) { end_check(key, server, error); });
    begun.timeout = m_timers.after(m_executor, check_timeout, [this, key] {
        const auto running = m_checks.find(key);
        if (running != m_checks.end()) {
            boost::system::error_code ignored;
            running->second.socket->close(ignored);
        }
    });
}

void crash_watch::end_check(policy::server_key key, const std::shared_ptr<backend>& server,
                            const boost::system::error_code& error) {
    // Those that waited may need another check.
    const auto ended = m_checks.extract(key);
    if (error == asio::error::connection_refused) {
        record_crash(*server);
    } else if (!error) {
        server->record_life();
        server_connection connection(std::make_shared<net::connection>(std::move(*ended.mapped().socket)));
        // A server that is ending may accept a connection before it closes them all.
        server->keep_idle(std::move(connection), keep_checked, [this, server] { plan_check(server); });
    }
    for (const auto& on_checked : ended.mapped().waiting) {
        on_checked();
    }
}

/// Lets the requests go on that wait for the check of this server, which goes on and has shown nothing so
/// far.
void crash_watch::release_waiting(policy::server_key key) {
    const auto running = m_checks.find(key);
    if (running == m_checks.end()) {
        return;
    }
    running->second.patience.cancel();
    for (const auto& on_checked : std::exchange(running->second.waiting, {})) {
        on_checked();
    }
}

void crash_watch::record_crash(const backend& server) {
    if (may_have_crashed(server)) {
        report(server, m_suspects.record_crash(server.record().key(), clock::now()),
               "it no longer answers at its address");
    }
}

void crash_watch::record_crash_elsewhere(policy::server_key server) {
    // Posted, because the ledger is being changed while this is called.
    asio::post(m_executor, [this, server] {
        m_slots.observe_crash(server, m_suspects.record_crash(server, clock::now()));
    });
}

void crash_watch::record_removal(const backend& server) {
    if (may_have_crashed(server)) {
        report(server, m_suspects.record_removal(server.record().key(), clock::now()),
               "its registration was removed");
    }
}

void crash_watch::record_alive(const backend& server, clock::time_point opened) {
    m_suspects.record_alive(server.record().key(), opened, clock::now());
}

void crash_watch::record_leaving(policy::server_key server) {
    m_suspects.record_leaving(server);
}

/// Logs the crash and tells all gateways what may have caused it.
void crash_watch::report(const backend& server, suspects marked, std::string_view sign) {
    if (marked.empty()) {
        return;
    }
    events::write(
        events::event_kind::backend_crashed,
        {{"backend", server.record().id}, {"suspects", std::uint64_t(marked.size())}, {"sign", sign}});
    m_slots.observe_crash(server.record().key(), marked);
}

} // namespace borageford::gateway
