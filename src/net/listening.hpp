// Binds sockets to the addresses from the settings, with errors that name the address.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/socket_base.hpp>

#include <stdexcept>

namespace borageford::net {

/// A process can't use an address on which it is to listen, for instance because another one uses it.
class listen_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Opens the acceptor and listens on `address`; returns the address in use, whose port was chosen by the
/// system if `address` has port 0. `backlog`: number of connections that may wait to be accepted. Throws
/// listen_error.
boost::asio::ip::tcp::endpoint listen(boost::asio::ip::tcp::acceptor& acceptor,
                                      const boost::asio::ip::tcp::endpoint& address,
                                      int backlog = boost::asio::socket_base::max_listen_connections);

/// Binds an open socket to `address`. Throws listen_error.
void bind(boost::asio::ip::udp::socket& socket, const boost::asio::ip::udp::endpoint& address);

} // namespace borageford::net
