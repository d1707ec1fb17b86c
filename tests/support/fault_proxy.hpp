// A TCP proxy that injects faults on command: delays, closed connections, bytes that are dropped or held
// back. It can split the traffic into the frames of wire/message.hpp, so that a fault hits a chosen message.
#pragma once

#include "wire/message.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace borageford::test {

/// `up` is from the client to the server behind the proxy, `down` from the server to the client.
enum class direction : std::uint8_t { up, down };
/// How a connection is closed: with a TCP reset, or by a shutdown in both directions.
enum class cut_kind : std::uint8_t { reset, end };

/// What an armed fault does to the unit (a frame, or the bytes of one read) that it fires on.
enum class fault : std::uint8_t {
    pass,      ///< forward it unchanged; a test uses this to wait for the unit
    hold,      ///< hold it and all later bytes in this direction until release()
    isolate,   ///< like hold; later bytes in the other direction are dropped
    drop,      ///< drop it and all later bytes in this direction; the connection stays open
    drop_both, ///< drop it and all later bytes in both directions; the connection stays open
    lose,      ///< drop it and reset the connection
    cut_after, ///< forward it, then shut the connection down
    truncate,  ///< forward its first half, then shut the connection down
    duplicate, ///< forward it twice
    corrupt    ///< change some bytes after the frame header
};

/// What the proxy splits the traffic into: frames of wire/message.hpp, or the bytes of each read.
enum class proxy_units : std::uint8_t { frames, raw };

/// The end of a connection in one direction, as the proxy received it.
struct received_end {
    std::chrono::steady_clock::time_point at;
    cut_kind kind = cut_kind::end;
};

/// A unit that was held back and has been forwarded since.
struct held_unit {
    direction way = direction::up;
    std::string bytes;
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point forwarded;
    /// How and when the sender closed the connection; nothing while that hasn't been forwarded.
    std::optional<received_end> end;
    std::chrono::steady_clock::time_point end_forwarded; ///< valid if there is an `end`
};

using unit_matcher = std::function<bool(std::string_view unit)>;

/// Matches a frame whose content is a `Message`.
template <typename Message>
[[nodiscard]] unit_matcher is_message() {
    return [](std::string_view unit) {
        const auto bytes = std::as_bytes(std::span(unit.data(), unit.size()));
        const auto frame = wire::decode(bytes.subspan(wire::frame_header_size));
        return std::holds_alternative<Message>(frame.content);
    };
}

/// Matches a unit that contains this text.
[[nodiscard]] unit_matcher contains(std::string text);

/// Forwards connections on its own thread; its functions may be called from any other thread. set_delay()
/// applies to all connections; cut(), drop() and hold() affect the connections that are open at the time of
/// the call; an armed fault affects the connection that it fires on.
class fault_proxy {
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    fault_proxy(const endpoint& target, proxy_units units);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    /// The loopback address on which the proxy accepts connections.
    [[nodiscard]] endpoint address() const;
    /// Forwards new connections to this address, for example after the server was restarted on another port.
    void set_target(const endpoint& target);

    /// Delays every unit by this time, in both directions; 0 turns the delay off.
    void set_delay(std::chrono::milliseconds delay);
    /// While true, new connections are accepted and closed at once.
    void set_refusing(bool refusing);
    /// Closes the listening port, as if the server had ended (false), or opens the same port again (true).
    void set_listening(bool listening);
    /// Closes all open connections.
    void cut(cut_kind kind);
    /// Drops all further bytes in this direction on the open connections, which stay open.
    void drop(direction way);
    /// Holds back further bytes in this direction on the open connections, and the connections' ends, until
    /// release(). Meanwhile up to 1 MiB is received from each sender.
    void hold(direction way);
    /// Forwards held bytes in their order. Directions that drop bytes go on dropping them.
    void release();

    /// Sets a fault that fires once, on the next unit in this direction that matches. Returns its number for
    /// wait_for_fault().
    std::size_t arm(direction way, unit_matcher matches, fault what);
    /// Returns once this fault has fired; throws after `hang_timeout`.
    void wait_for_fault(std::size_t number);
    /// Returns once every armed fault has fired; throws after `hang_timeout`.
    void wait_for_fault();
    /// The units that were held back by hold() or by an armed fault, in the order in which they were
    /// forwarded.
    [[nodiscard]] std::vector<held_unit> held_units() const;
    [[nodiscard]] std::size_t open_connections() const;
    /// Connections accepted since the proxy was created.
    [[nodiscard]] std::size_t accepted_connections() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::test
