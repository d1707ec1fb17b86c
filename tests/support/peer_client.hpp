// Connects to a sidecar in the place of an entry, so that a test can send any message and wait for single
// answers.
#pragma once

#include "http/client.hpp"
#include "support/wait_until.hpp"
#include "wire/message.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::test {

/// One blocking connection. It answers heartbeats only inside of the waiting functions; if a test does
/// nothing for too long, the sidecar closes the connection.
class peer_client {
public:
    /// Connects and exchanges hello messages. `revision` is sent in every frame. Throws
    /// std::system_error when the connection fails.
    peer_client(const http::endpoint& sidecar, std::uint64_t revision);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    /// The sidecar's hello message.
    [[nodiscard]] const wire::hello_message& hello() const noexcept { return m_hello; }
    void send(wire::message content);
    void set_revision(std::uint64_t revision) noexcept { m_revision = revision; }

    /// Returns the next message of this type that matches; messages of other types that arrive earlier are
    /// kept for later calls. Throws std::runtime_error when none arrives within `hang_timeout`, and
    /// std::system_error when the connection ends.
    template <typename Message>
    Message wait_for(const std::function<bool(const Message&)>& matches = {}) {
        const auto until = std::chrono::steady_clock::now() + hang_timeout;
        std::size_t checked_count = 0;
        for (;;) {
            for (; checked_count < m_received.size(); ++checked_count) {
                auto* held = std::get_if<Message>(&m_received[checked_count]);
                if (held != nullptr && (!matches || matches(*held))) {
                    auto found = std::move(*held);
                    m_received.erase(m_received.begin() + static_cast<std::ptrdiff_t>(checked_count));
                    return found;
                }
            }
            read_one(until);
        }
    }

    /// Returns the next message of this type that belongs to the dispatch.
    template <typename Message>
    Message wait_for(const dispatch_id& dispatch) {
        return wait_for<Message>(
            [&](const Message& held) { return wire::from_wire(held.dispatch) == dispatch; });
    }

    /// True when a message of this type for the dispatch was received and no wait_for() has returned it yet.
    template <typename Message>
    [[nodiscard]] bool has(const dispatch_id& dispatch) const {
        for (const auto& held : m_received) {
            const auto* message = std::get_if<Message>(&held);
            if (message != nullptr && wire::from_wire(message->dispatch) == dispatch) {
                return true;
            }
        }
        return false;
    }

    /// Sends a heartbeat and waits for a reply, so that all that the sidecar sent before its reply was
    /// received.
    void synchronize();

    /// Returns once the sidecar has ended the connection.
    void wait_for_end();
    void close();

private:
    void read_one(std::chrono::steady_clock::time_point until);
    void read_bytes(std::span<std::byte> into, std::chrono::steady_clock::time_point until);

    int m_socket = -1;
    std::uint64_t m_revision;
    std::uint64_t m_heartbeats = 0;
    wire::hello_message m_hello;
    std::deque<wire::message> m_received;
};

} // namespace borageford::test
