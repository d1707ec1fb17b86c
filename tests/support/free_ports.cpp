// Finds ports that are free by asking the kernel for a port and binding it and its successors at each
// address.
#include "support/free_ports.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <limits>

namespace borageford::test {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

/// Gateways per 127.0.N.0/24 block: addresses 127.0.N.2 to 127.0.N.251.
constexpr std::size_t gateways_per_subnet = 250;

/// True when the ports from `first` on are free for TCP and UDP at the addresses of all gateways.
bool are_free(std::uint16_t first, std::size_t gateways) {
    asio::io_context context;
    try {
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            const auto address = asio::ip::make_address(gateway_address(gateway));
            for (unsigned offset = 0; offset < ports_per_gateway; ++offset) {
                const auto port = static_cast<std::uint16_t>(first + offset);
                tcp::acceptor listener(context, tcp::endpoint(address, port), true);
                udp::socket socket(context, udp::endpoint(address, port));
            }
        }
    } catch (const boost::system::system_error&) {
        return false; // a port is in use, probably by another test
    }
    return true;
}

} // namespace

std::string gateway_address(std::size_t gateway) {
    return "127.0." + std::to_string(gateway / gateways_per_subnet) + "." +
           std::to_string(2 + gateway % gateways_per_subnet);
}

std::uint16_t find_gateway_ports(std::size_t gateways) {
    asio::io_context context;
    for (;;) {
        tcp::acceptor proposal(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const auto port = proposal.local_endpoint().port();
        const bool has_successors = port < std::numeric_limits<std::uint16_t>::max() - ports_per_gateway;
        if (has_successors && are_free(port, gateways)) {
            return port;
        }
    }
}

} // namespace borageford::test
