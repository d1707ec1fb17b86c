// The UDP socket over which gateways talk.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <span>

namespace borageford::coordination {

class peer_socket {
public:
    using receiver = std::function<void(const boost::asio::ip::udp::endpoint&, std::span<const std::byte>)>;

    peer_socket(const boost::asio::any_io_executor& executor, const boost::asio::ip::udp::endpoint& local,
                receiver receive);

    /// Lost without a word when the kernel takes no more: whoever needs an answer asks again.
    void send(const boost::asio::ip::udp::endpoint& to, std::span<const std::byte> bytes);
    void close() noexcept;

private:
    /// The largest datagram that is taken.
    static constexpr std::size_t buffer_size = 16U * 1024;

    void receive_next();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_from;
    std::array<std::byte, buffer_size> m_buffer{};
    receiver m_receive;
};

} // namespace borageford::coordination
