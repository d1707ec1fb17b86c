// Implementation of listening: translates the system's errors, which don't name the address.
#include "net/listening.hpp"

#include <boost/system/system_error.hpp>

#include <sstream>

namespace borageford::net {

namespace {

template <typename Endpoint>
listen_error make_error(const Endpoint& address, const boost::system::system_error& error) {
    std::ostringstream text;
    text << "can't listen on " << address << ": " << error.code().message();
    return listen_error(text.str());
}

} // namespace

boost::asio::ip::tcp::endpoint listen(boost::asio::ip::tcp::acceptor& acceptor,
                                      const boost::asio::ip::tcp::endpoint& address, int backlog) {
    try {
        acceptor.open(address.protocol());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen(backlog);
        return acceptor.local_endpoint();
    } catch (const boost::system::system_error& error) {
        throw make_error(address, error);
    }
}

void bind(boost::asio::ip::udp::socket& socket, const boost::asio::ip::udp::endpoint& address) {
    try {
        socket.bind(address);
    } catch (const boost::system::system_error& error) {
        throw make_error(address, error);
    }
}

} // namespace borageford::net
