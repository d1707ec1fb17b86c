// The connections from entry processes to this sidecar.
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

/// Identifies a connection. Unique within the process and never reused, so that a message for a closed
/// connection can't be sent on a newer one.
using connection_id = std::uint64_t;

/// Accepts connections and sends messages on them. Used on its strand only; all callbacks are called on the
/// strand. Invariant: at most `limit` connections are held.
class peer_registry {
public:
    struct callbacks {
        /// A message was received on the connection.
        std::function<void(connection_id, wire::envelope)> received;
        /// The connection has ended. Called once for each connection, and never from inside of a function of
        /// peer_registry.
        std::function<void(connection_id)> closed;
        /// Returns the load report that is sent with heartbeats.
        std::function<std::unique_ptr<wire::load_report_message>()> current_load;
        /// Returns the hello message that is sent on a new connection.
        std::function<wire::hello_message()> make_hello;
        /// Returns the configuration revision in force, which is sent with every message.
        std::function<std::uint64_t()> revision;
    };

    peer_registry(boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                  wire::heartbeat_settings heartbeat, std::size_t limit, callbacks calls);

    /// Starts to accept connections and returns the address that is listened on. Throws
    /// boost::system::system_error if the address can't be listened on.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

    /// Sends a message. Does nothing when the connection is closed.
    void send(connection_id connection, wire::message content);
    /// Bytes that were sent on the connection and that its peer hasn't taken yet; 0 when it is closed.
    [[nodiscard]] std::size_t unsent_bytes(connection_id connection) const;
    /// Sends a message on all connections on which the peer's hello was received.
    void send_to_all(const wire::message& content);
    void close_all(const std::string& reason);

    [[nodiscard]] bool is_open(connection_id connection) const { return m_peers.contains(connection); }
    [[nodiscard]] std::size_t size() const noexcept { return m_peers.size(); }

private:
    struct peer {
        std::shared_ptr<wire::peer_connection> connection;
        bool is_opened = false; ///< the peer's hello was received
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
    timer_subscription m_accept_retry;
    std::map<connection_id, peer> m_peers;
    connection_id m_last_connection = 0;
};

} // namespace borageford::sidecar
