// Implements examine_end() with what the kernel knows of the connection.
#include "net/peer_end.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace borageford::net {

peer_end examine_end(boost::asio::ip::tcp::socket& socket) {
    if (!socket.is_open()) {
        return peer_end::reset;
    }
    // The kernel reports a hang-up once both directions have ended, and this process hasn't ended its own.
    ::pollfd watched{socket.native_handle(), 0, 0};
    if (::poll(&watched, 1, 0) > 0 && (watched.revents & (POLLERR | POLLHUP)) != 0) {
        return peer_end::reset;
    }
    int unacknowledged = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
        unacknowledged = 0;
    }
    return unacknowledged > 0 ? peer_end::undecided : peer_end::orderly;
}

} // namespace borageford::net
