// Socket options for TCP connections, which let the process notice a lost network path within seconds.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace borageford::net {

/// When the kernel ends a connection that was not closed or reset. A firewall may drop packets without a
/// reset, or a machine may fail: writes into the kernel's buffer then still succeed, but the peer never
/// answers.
struct liveness_limits {
    /// The connection ends when sent bytes aren't acknowledged for this long (TCP_USER_TIMEOUT). The time is
    /// enough for two retransmissions on a path with a retransmission timeout of some hundred milliseconds.
    std::chrono::milliseconds acknowledgement_timeout{2000};
    /// Time without traffic before the first keep-alive probe, and between two probes.
    std::chrono::seconds probe_interval{1};
    /// Number of keep-alive probes without a reply after which the connection ends.
    int probe_count = 2;
};

/// Sets non-blocking mode, TCP_NODELAY and the liveness options. Errors are ignored here: a broken socket
/// fails at the next read or write.
void prepare_socket(boost::asio::ip::tcp::socket& socket, const liveness_limits& limits = {});

/// Changes liveness_limits::acknowledgement_timeout of a socket. The kernel also ends a connection whose peer
/// acknowledges all bytes, but has had no room for more for this long.
void set_acknowledgement_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/// Lets the kernel accept only few bytes for each connection that this acceptor will accept before their
/// receiver has room for them, so that they are counted by this process. Fast receivers get as many as ever.
void limit_unsent(boost::asio::ip::tcp::acceptor& acceptor);

/// Limits what the kernel holds of what a peer sends and this process doesn't read, on each connection that
/// is accepted from now on. Enough for a long body over paths of some milliseconds.
void limit_received(boost::asio::ip::tcp::acceptor& acceptor);

} // namespace borageford::net
