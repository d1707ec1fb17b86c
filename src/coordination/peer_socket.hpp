// The UDP socket over which gateways exchange datagrams.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <span>

namespace borageford::coordination {

/// Calls its receiver for each datagram, on the given executor. Belongs to the thread of that executor.
class peer_socket {
public:
    /// Called with the sender of a datagram and its bytes, which are valid only during the call.
    using receiver = std::function<void(const boost::asio::ip::udp::endpoint&, std::span<const std::byte>)>;

    /// Binds the socket and starts to receive. Throws boost::system::system_error when `local` can't be
    /// bound.
    peer_socket(const boost::asio::any_io_executor& executor, const boost::asio::ip::udp::endpoint& local,
                receiver receive);

    /// Sends a datagram. Errors are ignored and a datagram that the kernel doesn't accept is lost, so a
    /// caller that needs a reply has to send again.
    void send(const boost::asio::ip::udp::endpoint& to, std::span<const std::byte> bytes);
    void close() noexcept;

private:
    /// Size in bytes of the largest datagram that can be received.
    static constexpr std::size_t buffer_size = 16U * 1024;

    void receive_next();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<std::byte, buffer_size> m_buffer{};
    receiver m_receive;
};

} // namespace borageford::coordination
