// Implements peer_client with a blocking socket.
#include "support/peer_client.hpp"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace borageford::test {

namespace {

[[noreturn]] void fail(const char* what) {
    throw std::system_error(errno, std::generic_category(), what);
}

} // namespace

peer_client::peer_client(const http::endpoint& sidecar, std::uint64_t revision)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_revision(revision) {
    if (m_socket < 0 || connect(m_socket, sidecar.data(), static_cast<socklen_t>(sidecar.size())) != 0) {
        fail("connect");
    }
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    wire::hello_message own;
    own.protocol_version = wire::protocol_version;
    own.role = wire::process_role::entry;
    own.incarnation = wire::to_wire(identifier::random());
    own.vm = "test-entry";
    send(std::move(own));
    m_hello = wait_for<wire::hello_message>();
}

peer_client::~peer_client() {
    close();
}

void peer_client::close() {
    if (m_socket >= 0) {
        ::close(m_socket);
        m_socket = -1;
    }
}

void peer_client::send(wire::message content) {
    const auto bytes = wire::encode(m_revision, content);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0) {
            fail("send");
        }
        sent += static_cast<std::size_t>(count);
    }
}

void peer_client::synchronize() {
    wire::heartbeat_message heartbeat;
    heartbeat.sequence = ++m_heartbeats;
    send(std::move(heartbeat));
    // The replies are numbered by the sidecar, so a reply can't be matched to its heartbeat; any reply will
    // do.
    wait_for<wire::heartbeat_message>([](const wire::heartbeat_message& held) { return held.is_reply; });
}

void peer_client::wait_for_end() {
    const auto until = std::chrono::steady_clock::now() + hang_timeout;
    try {
        for (;;) {
            read_one(until);
        }
    } catch (const std::system_error&) {
        // The connection has ended.
    }
}

void peer_client::read_one(std::chrono::steady_clock::time_point until) {
    std::array<std::byte, wire::frame_header_size> header{};
    read_bytes(header, until);
    std::vector<std::byte> body(wire::decode_length(header));
    read_bytes(body, until);
    auto received = wire::decode(body);
    if (const auto* heartbeat = std::get_if<wire::heartbeat_message>(&received.content)) {
        if (!heartbeat->is_reply) {
            wire::heartbeat_message answer;
            answer.is_reply = true;
            send(std::move(answer));
            return;
        }
    }
    m_received.push_back(std::move(received.content));
}

void peer_client::read_bytes(std::span<std::byte> into, std::chrono::steady_clock::time_point until) {
    while (!into.empty()) {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
        pollfd waiting{m_socket, POLLIN, 0};
        if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) == 0) {
            throw std::runtime_error("the sidecar did not send the expected message in time");
        }
        const auto count = recv(m_socket, into.data(), into.size(), 0);
        if (count <= 0) {
            if (count == 0) {
                errno = ECONNRESET;
            }
            fail("receive");
        }
        into = into.subspan(static_cast<std::size_t>(count));
    }
}

} // namespace borageford::test
