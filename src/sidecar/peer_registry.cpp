// Implementation of peer_registry: accepting, using and closing connections from entry processes.
#include "sidecar/peer_registry.hpp"

#include "base/log.hpp"
#include "net/listening.hpp"

#include <boost/asio/post.hpp>

#include <utility>
#include <vector>

namespace borageford::sidecar {
namespace {

namespace asio = boost::asio;

/// Delay after a failed accept, for example when no file descriptor is free. Retrying at once would be a busy
/// loop.
constexpr std::chrono::milliseconds accept_pause{100};

} // namespace

peer_registry::peer_registry(asio::strand<asio::any_io_executor> strand, timer_service& timers,
                             wire::heartbeat_settings heartbeat, std::size_t limit, callbacks calls)
    : m_strand(std::move(strand)),
      m_timers(timers),
      m_heartbeat(heartbeat),
      m_limit(limit),
      m_calls(std::move(calls)),
      m_acceptor(m_strand) {}

asio::ip::tcp::endpoint peer_registry::listen(const asio::ip::tcp::endpoint& address) {
    const auto in_use = net::listen(m_acceptor, address);
    asio::post(m_strand, [this] { accept_next(); });
    return in_use;
}

void peer_registry::accept_next() {
    m_acceptor.async_accept(asio::any_io_executor(m_strand), [this](const boost::system::error_code& error,
                                                                    asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            log::warning("accept_failed", {{"error", error.message()}});
            m_accept_retry = m_timers.after(m_strand, accept_pause, [this] { accept_next(); });
            return;
        }
        add(std::move(socket));
        accept_next();
    });
}

void peer_registry::add(asio::ip::tcp::socket socket) {
    if (m_peers.size() >= m_limit) {
        log::warning("peer_refused", {{"reason", "too many connections"}});
        return;
    }
    const auto id = ++m_last_connection;
    wire::peer_connection::callbacks calls;
    calls.opened = [this, id](const wire::hello_message& hello) {
        m_peers.at(id).is_opened = true;
        log::info("peer_opened", {{"vm", hello.vm}});
    };
    calls.received = [this, id](wire::envelope received) {
        m_calls.received(id, std::move(received));
    };
    // A send may find that its connection is broken. The end of the connection is reported later by a posted
    // call, so that the connection isn't removed in the middle of the function that sends.
    calls.closed = [this, id](const std::string& reason) {
        asio::post(m_strand, [this, id, reason] { remove(id, reason); });
    };
    calls.current_load = m_calls.current_load;
    const auto connection =
        std::make_shared<wire::peer_connection>(std::move(socket), m_strand, m_timers, m_heartbeat,
                                                m_calls.make_hello(), m_calls.revision, std::move(calls));
    m_peers.emplace(id, peer{connection, false});
    connection->start();
}

void peer_registry::remove(connection_id connection, const std::string& reason) {
    if (m_peers.erase(connection) == 0) {
        return;
    }
    log::info("peer_closed", {{"reason", reason}});
    m_calls.closed(connection);
}

void peer_registry::send(connection_id connection, wire::message content) {
    const auto found = m_peers.find(connection);
    if (found != m_peers.end()) {
        found->second.connection->send(std::move(content));
    }
}

std::size_t peer_registry::unsent_bytes(connection_id connection) const {
    const auto found = m_peers.find(connection);
    return found != m_peers.end() ? found->second.connection->unsent_bytes() : 0;
}

void peer_registry::send_to_all(const wire::message& content) {
    for (const auto& [id, held] : m_peers) {
        if (held.is_opened) {
            held.connection->send(content);
        }
    }
}

void peer_registry::close_all(const std::string& reason) {
    for (const auto& [id, held] : m_peers) {
        held.connection->close(reason);
    }
}

} // namespace borageford::sidecar
