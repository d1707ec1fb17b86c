// Options that every TCP connection of a process gets, so that a dead path is noticed in time.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace borageford::net {

/// When a connection counts as dead although no reset came. A firewall or a lost machine may drop packets
/// without a word; a write then succeeds into the kernel's buffer and nothing ever answers.
struct liveness_limits {
    /// Bytes sent and not acknowledged for this long end the connection (TCP_USER_TIMEOUT). Two
    /// retransmissions fit into it on a path with some hundred milliseconds of retransmission timeout.
    std::chrono::milliseconds unacknowledged{2000};
    /// A connection without traffic is probed after this long, and then at the same interval.
    std::chrono::seconds probe_interval{1};
    /// So many probes without an answer end it.
    int probes = 2;
};

/// Sets non-blocking mode, TCP_NODELAY and the liveness options. Failures are left to the next read or write.
void prepare_socket(boost::asio::ip::tcp::socket& socket, const liveness_limits& limits = {});

} // namespace borageford::net
