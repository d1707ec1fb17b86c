// A TCP proxy that brings faults about on command: delay, cut, silence, bytes held back, answers lost. It
// knows the frames between our processes, so a fault can strike at a chosen message.
#pragma once

#include "wire/message.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace borageford::test {

/// `up` is towards the server behind the proxy.
enum class direction : std::uint8_t { up, down };
enum class cut_kind : std::uint8_t { reset, end };

/// What a trigger does to the unit (a frame, or a piece of raw bytes) that it fires on.
enum class fault : std::uint8_t {
    pass,      ///< nothing; the trigger is just waited for
    hold,      ///< keep it and all that follows in this direction until release()
    isolate,   ///< hold, and swallow silently what comes in the other direction
    drop,      ///< swallow it and all that follows in this direction, silently
    drop_both, ///< swallow it and all that follows in both directions, silently
    lose,      ///< swallow it and reset the connection
    cut_after, ///< let it through, then end the connection
    truncate,  ///< let half of it through, then end the connection
    duplicate, ///< send it twice
    corrupt    ///< change some of its bytes
};

enum class proxy_units : std::uint8_t { frames, raw };

using unit_matcher = std::function<bool(std::string_view unit)>;

/// Matches a frame that carries this message.
template <typename Message>
[[nodiscard]] unit_matcher is_message() {
    return [](std::string_view unit) {
        const auto bytes = std::as_bytes(std::span(unit.data(), unit.size()));
        const auto frame = wire::decode(bytes.subspan(wire::frame_header_size));
        return std::holds_alternative<Message>(frame.content);
    };
}

/// Matches raw bytes with this text in them.
[[nodiscard]] unit_matcher contains(std::string text);

/// Runs on a thread of its own. Commands act at once on all open connections; a trigger acts on the
/// connection that it fires on. New connections work unless refused.
class fault_proxy {
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    fault_proxy(const endpoint& target, proxy_units units);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    [[nodiscard]] endpoint address() const;
    /// New connections go there: the server was started again elsewhere.
    void set_target(const endpoint& target);

    /// Every unit waits this long, in both directions.
    void set_delay(std::chrono::milliseconds delay);
    /// Refusing: new connections are reset.
    void set_refusing(bool refusing);
    /// Closes the port, as a server that is gone does, or opens the same one again.
    void set_listening(bool listening);
    void cut(cut_kind kind);
    /// Swallows silently what comes in this direction on the connections open now.
    void drop(direction way);
    /// Stops reading in this direction on the connections open now.
    void hold(direction way);
    /// Lets go on what was held, in order.
    void release();

    /// Arms a fault for the next unit that matches; it fires once. Returns its number, for waiting.
    std::size_t arm(direction way, unit_matcher matches, fault what);
    void wait_for_fault(std::size_t number);
    /// Returns once every armed fault has fired.
    void wait_for_fault();
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::size_t accepted_connections() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::test
