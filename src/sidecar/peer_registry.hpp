// The connections of the entries that use this sidecar.
#pragma once

#include "wire/peer_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace borageford::sidecar {

/// Names one connection as long as the process lives; never used twice, so that what was meant for a closed
/// connection can't reach a newer one.
using connection_id = std::uint64_t;

/// Accepts and holds connections. Used on its strand only, where all callbacks run too.
/// Invariant: at most `limit` connections are held.
class peer_registry {
public:
    struct callbacks {
        std::function<void(connection_id, wire::envelope)> received;
        /// Called once a connection, never from inside one of the calls below.
        std::function<void(connection_id)> closed;
        std::function<std::unique_ptr<wire::load_report_message>()> current_load;
        /// What to say to a new peer.
        std::function<wire::hello_message()> make_hello;
        std::function<std::uint64_t()> revision;
    };

    peer_registry(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                  wire::heartbeat_settings heartbeat, std::size_t limit, callbacks calls);

    /// Starts to accept and returns the address in use. Throws boost::system::system_error.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Does nothing when the connection is gone.
    void send(connection_id connection, wire::message content);
    void send_to_all(const wire::message& content);
    void close_all(const std::string& reason);

    [[nodiscard]] bool is_open(connection_id connection) const { return m_peers.contains(connection); }
    [[nodiscard]] std::size_t size() const noexcept { return m_peers.size(); }

private:
    struct peer {
        std::shared_ptr<wire::peer_connection> connection;
        bool is_opened = false; ///< its hello has come
    };

    void accept_next();
    void add(boost::asio::ip::tcp::socket socket);
    void remove(connection_id connection, const std::string& reason);

    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    timer_service& m_timers;
    wire::heartbeat_settings m_heartbeat;
    std::size_t m_limit;
    callbacks m_calls;
    boost::asio::ip::tcp::acceptor m_acceptor;
    timer_subscription m_accept_later;
    std::map<connection_id, peer> m_peers;
    connection_id m_last_connection = 0;
};

} // namespace borageford::sidecar
