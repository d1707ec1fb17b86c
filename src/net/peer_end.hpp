// Tells whether a peer that has ended its sending side has done so in order.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>

namespace borageford::net {

/// What is known when all bytes of a peer, and the end of its sending side, were read.
enum class peer_end : std::uint8_t {
    orderly, ///< the peer has received all that was sent to it
    /// It hasn't yet. If it has closed its socket, its kernel resets the connection when more bytes arrive.
    undecided,
    reset, ///< the connection was reset, or ended for another reason
};

/// How long to wait before an undecided end is examined again.
constexpr std::chrono::milliseconds peer_end_period{5};

/// Examines a connection on which the peer's end was read.
///
/// A read doesn't tell an orderly end from a reset that follows it, or that a write has noticed before: in
/// both cases it reports the end of the peer's bytes and no error. Without this, the part of an answer that a
/// server has sent before it reset the connection during the upload passes for the whole answer, if it has no
/// length.
[[nodiscard]] peer_end examine_end(boost::asio::ip::tcp::socket& socket);

} // namespace borageford::net
