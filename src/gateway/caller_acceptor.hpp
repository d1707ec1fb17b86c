// Accepts the connections of callers, as many as there are descriptors for.
#pragma once

#include "base/timer_service.hpp"
#include "gateway/gateway_context.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>

namespace borageford::gateway {

class client_session;

/// Invariant: at most `limit` connections of callers are open, those included whose last answer the caller
/// may still read. For a further one, the connection that has been idle for longest is closed, since callers
/// repeat what they send on a closed connection; if none is idle, the one whose request has been incomplete
/// for longest; otherwise the further one. The remaining descriptors are for servers, other gateways and the
/// store.
class caller_acceptor {
public:
    caller_acceptor(gateway_context& context, std::size_t limit);

    /// Starts to accept connections. Throws net::listen_error if the address can't be used.
    void listen(const boost::asio::ip::tcp::endpoint& address);

    [[nodiscard]] boost::asio::ip::tcp::acceptor& acceptor() noexcept { return m_acceptor; }

private:
    void accept();
    void add(boost::asio::ip::tcp::socket socket);
    bool close_longest_waiting();

    gateway_context& m_context;
    std::size_t m_limit;
    /// Shared with the connections, which may be open for longer than this object exists.
    std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0);
    boost::asio::ip::tcp::acceptor m_acceptor;
    timer_subscription m_retry;
};

} // namespace borageford::gateway
