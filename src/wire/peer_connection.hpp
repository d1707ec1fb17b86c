// One TCP connection between two of our processes: frames out in order, frames in to one receiver, a
// handshake first and heartbeats while it lives.
#pragma once

#include "base/timer_service.hpp"
#include "wire/message.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace borageford::wire {

/// When a connection counts as silent. Heartbeats are sent only where nothing has come for a while: with
/// hundreds of peers a process would otherwise send little else (docs/CAPACITY.md).
struct heartbeat_settings {
    /// A connection with work that was quiet for this long is sent a heartbeat, and one without work when it
    /// was quiet for `idle_periods` of it.
    std::chrono::milliseconds period{1000};
    /// Nothing received for this long, heartbeats notwithstanding: the connection is abandoned, since
    /// something between the two ends may have lost track of it while new ones work.
    std::chrono::milliseconds silence_limit{3000};
    std::chrono::milliseconds handshake_limit{2000};
    unsigned idle_periods = 30;
    unsigned work_periods =
        10; ///< a connection of which nobody can say more has work for so long after a message
};

/// Invariants: `m_outgoing` and the callbacks are touched only on the strand; after `closed` was called
/// nothing more is delivered; at most `outgoing_limit` bytes wait to be sent.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    /// A peer that doesn't read isn't given more than this; its connection is closed instead.
    static constexpr std::size_t outgoing_limit = 64U * 1024 * 1024;

    struct callbacks {
        /// The peer's hello has come and fits; called once, before any message.
        std::function<void(const hello_message&)> opened;
        /// A message other than hello and heartbeat.
        std::function<void(envelope)> received;
        /// The connection has ended; called once, last. The reason is for logs.
        std::function<void(const std::string& reason)> closed;
        /// Whether somebody waits for what comes on this connection. Empty: for as long as messages came or
        /// went within `work_periods`.
        std::function<bool()> has_work;
        /// The load to send with each heartbeat; may be empty.
        std::function<std::unique_ptr<load_report_message>()> current_load;
        /// A heartbeat's load has come; may be empty.
        std::function<void(const load_report_message&)> load_received;
    };

    /// `revision` gives the sender's configuration revision for every frame.
    /// All callbacks run on `strand`, which the owner may share among its connections.
    peer_connection(boost::asio::ip::tcp::socket socket,
                    boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                    heartbeat_settings heartbeat, hello_message own_hello,
                    std::function<std::uint64_t()> revision, callbacks calls);
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;
    peer_connection(peer_connection&&) = delete;
    peer_connection& operator=(peer_connection&&) = delete;
    ~peer_connection() = default;

    /// Sends the hello and starts reading and heartbeats.
    void start();

    /// Queues a message; messages arrive in the order of the calls. From any thread.
    void send(message content);

    /// Ends the connection after what is queued has been written (or at once when `discard`).
    void close(const std::string& reason);

private:
    void start_on_strand();
    void enqueue(std::vector<std::byte> bytes);
    void write_next();
    void read_header();
    void read_body();
    void take_body();
    void read_into(boost::asio::mutable_buffer target, void (peer_connection::*next_step)());
    void handle(envelope received);
    void handle_hello(const hello_message& hello);
    void handle_heartbeat(const heartbeat_message& heartbeat);
    void send_heartbeat(bool is_reply);
    void check_silence();
    [[nodiscard]] bool has_work(std::chrono::steady_clock::time_point now) const;
    void set_socket_options();
    void finish(const std::string& reason);

    using socket_type = boost::asio::ip::tcp::socket;
    using strand_type = boost::asio::strand<boost::asio::any_io_executor>;

    strand_type m_strand;
    socket_type m_socket;
    timer_service& m_timers;
    heartbeat_settings m_heartbeat;
    hello_message m_own_hello;
    std::function<std::uint64_t()> m_revision;
    callbacks m_calls;

    std::deque<std::vector<std::byte>> m_outgoing;
    std::size_t m_outgoing_bytes = 0;
    bool m_writing = false;
    bool m_opened = false;
    bool m_finished = false;
    std::uint64_t m_heartbeat_sequence = 0;
    std::array<std::byte, frame_header_size> m_header{};
    std::vector<std::byte> m_body;
    std::chrono::steady_clock::time_point m_last_received;
    std::chrono::steady_clock::time_point m_last_written;
    std::chrono::steady_clock::time_point m_last_message; ///< either way, heartbeats left out
    /// The first heartbeat since something was received; nothing while none is unanswered.
    std::optional<std::chrono::steady_clock::time_point> m_asked;
    timer_subscription m_heartbeat_timer;
};

} // namespace borageford::wire
