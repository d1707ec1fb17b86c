// An entry as a sidecar sees it, driven step by step by a test: sends any message and waits for answers.
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

/// One blocking connection. Answers heartbeats only while it waits, so a test must not idle on it.
class peer_client {
public:
    /// Connects and says hello. `revision` goes with every frame.
    peer_client(const http::endpoint& sidecar, std::uint64_t revision);
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    peer_client(peer_client&&) = delete;
    peer_client& operator=(peer_client&&) = delete;

    [[nodiscard]] const wire::hello_message& hello() const noexcept { return m_hello; }
    void send(wire::message content);
    void set_revision(std::uint64_t revision) noexcept { m_revision = revision; }

    /// The next message of this kind; others that come before it are kept for later calls. Throws when none
    /// comes within the guard against hanging, or the connection ends.
    template <typename Message>
    Message wait_for(const std::function<bool(const Message&)>& matches = {}) {
        const auto until = std::chrono::steady_clock::now() + hang_guard;
        std::size_t looked_at = 0;
        for (;;) {
            for (; looked_at < m_received.size(); ++looked_at) {
                auto* held = std::get_if<Message>(&m_received[looked_at]);
                if (held != nullptr && (!matches || matches(*held))) {
                    auto found = std::move(*held);
                    m_received.erase(m_received.begin() + static_cast<std::ptrdiff_t>(looked_at));
                    return found;
                }
            }
            read_one(until);
        }
    }

    /// The next message of this kind for this dispatch.
    template <typename Message>
    Message wait_for(const dispatch_id& dispatch) {
        return wait_for<Message>(
            [&](const Message& held) { return wire::from_wire(held.dispatch) == dispatch; });
    }

    /// Whether a message of this kind for this dispatch has been read and not been asked for.
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

    /// Everything that the sidecar had sent before this call has been read when it returns.
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
