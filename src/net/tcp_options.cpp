// Sets the socket options with Asio. Asio has no types of its own for the Linux liveness options.
#include "net/tcp_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace borageford::net {

namespace asio = boost::asio;

namespace {

using keep_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void prepare_socket(asio::ip::tcp::socket& socket, const liveness_limits& limits) {
    boost::system::error_code ignored;
    const auto interval = static_cast<int>(limits.probe_interval.count());
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_idle(interval), ignored);
    socket.set_option(keep_interval(interval), ignored);
    socket.set_option(keep_count(limits.probe_count), ignored);
    socket.set_option(user_timeout(static_cast<int>(limits.acknowledgement_timeout.count())), ignored);
}

} // namespace borageford::net
