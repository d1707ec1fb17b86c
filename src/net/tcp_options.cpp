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
using unsent_limit = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

constexpr int max_unsent_in_kernel = 16 * 1024;
/// Receive buffer of a caller's connection, which the kernel would otherwise enlarge to megabytes for callers
/// that send what isn't read.
constexpr int max_received_in_kernel = 64 * 1024;

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
    set_acknowledgement_timeout(socket, limits.acknowledgement_timeout);
}

void set_acknowledgement_timeout(asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout) {
    boost::system::error_code ignored;
    socket.set_option(user_timeout(static_cast<int>(timeout.count())), ignored);
}

void limit_unsent(asio::ip::tcp::acceptor& acceptor) {
    boost::system::error_code ignored;
    acceptor.set_option(unsent_limit(max_unsent_in_kernel), ignored); // accepted sockets inherit it
}

void limit_received(asio::ip::tcp::acceptor& acceptor) {
    boost::system::error_code ignored;
    acceptor.set_option(asio::socket_base::receive_buffer_size(max_received_in_kernel), ignored);
}

} // namespace borageford::net
