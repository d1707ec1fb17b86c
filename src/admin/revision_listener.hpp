// Listens for connections from other entries, which ask for this entry's revision of the configuration and
// exchange newer revisions with it.
#pragma once

#include "base/timer_service.hpp"
#include "configuration/configuration_follower.hpp"
#include "wire/peer_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace borageford::admin {

/// What a process sends about itself on each connection to a peer.
struct peer_identity {
    wire::hello_message hello; ///< its field `revision` is set when a connection is opened
    wire::heartbeat_settings heartbeat;
};

/// Accepts connections from entries until it is destroyed. Invariant: at most `connection_limit` connections
/// are open; a connection above the limit is closed at once.
class revision_listener {
public:
    static constexpr std::size_t connection_limit = 1024;

    revision_listener(boost::asio::any_io_executor executor, timer_service& timers,
                      configuration::configuration_follower& follower, peer_identity identity);
    ~revision_listener();
    revision_listener(const revision_listener&) = delete;
    revision_listener& operator=(const revision_listener&) = delete;
    revision_listener(revision_listener&&) = delete;
    revision_listener& operator=(revision_listener&&) = delete;

    /// Starts accepting connections and returns the address in use; with port 0 the kernel chooses the port.
    /// Throws boost::system::system_error if the address can't be used.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::admin
