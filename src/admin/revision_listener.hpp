// An entry's listener for other entries: they ask which revision it holds, and pass revisions on.
#pragma once

#include "base/timer_service.hpp"
#include "configuration/configuration_follower.hpp"
#include "wire/peer_connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace borageford::admin {

/// What every connection between processes needs to say who is at this end.
struct peer_identity {
    wire::hello_message hello; ///< its revision is filled in for each connection
    wire::heartbeat_settings heartbeat;
};

/// Invariant: at most `connection_limit` connections are open; one more is closed at once.
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

    /// Starts to accept; port 0 lets the kernel choose. Returns the address in use.
    boost::asio::ip::tcp::endpoint listen(const boost::asio::ip::tcp::endpoint& address);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace borageford::admin
