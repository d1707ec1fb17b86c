// Receives datagrams one after another; each completed receive operation starts the next one.
#include "coordination/peer_socket.hpp"

#include "net/listening.hpp"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace borageford::coordination {

namespace asio = boost::asio;

peer_socket::peer_socket(const asio::any_io_executor& executor, const asio::ip::udp::endpoint& local,
                         receiver receive)
    : m_socket(executor, local.protocol()), m_receive(std::move(receive)) {
    m_socket.non_blocking(true);
    net::bind(m_socket, local);
    receive_next();
}

void peer_socket::receive_next() {
    m_socket.async_receive_from(asio::buffer(m_buffer), m_from,
                                [this](const boost::system::error_code& error, std::size_t count) {
                                    if (error == asio::error::operation_aborted || !m_socket.is_open()) {
                                        return;
                                    }
                                    // Other errors mean that a peer is unreachable. slot_broker notices this
                                    // by the heartbeats that it no longer receives.
                                    if (!error) {
                                        m_receive(m_from, std::span(m_buffer).first(count));
                                    }
                                    receive_next();
                                });
}

void peer_socket::send(const asio::ip::udp::endpoint& to, std::span<const std::byte> bytes) {
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

void peer_socket::close() noexcept {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace borageford::coordination
