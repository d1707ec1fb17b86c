// A TCP connection between two borageford processes. It starts with a handshake, exchanges messages in order
// and uses heartbeats to detect a peer that no longer responds.
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

/// When heartbeats are sent and when an unresponsive connection is closed. A heartbeat is sent only after a
/// time without messages: with hundreds of peers a process would otherwise send little else
/// (docs/CAPACITY.md).
struct heartbeat_settings {
    /// Time without messages after which a heartbeat is sent on a connection that has work; see
    /// peer_connection::callbacks::has_work.
    std::chrono::milliseconds period{1000};
    /// The connection is closed when nothing is received for this long although a heartbeat was sent. A
    /// device between the two ends may have dropped the state of this connection while new connections work.
    std::chrono::milliseconds silence_limit{3000};
    /// The connection is closed when the peer's hello doesn't arrive within this time.
    std::chrono::milliseconds handshake_limit{2000};
    /// Number of periods without messages after which a heartbeat is sent on a connection without work.
    unsigned idle_periods = 30;
    /// Without a `has_work` callback, a connection has work for this number of periods after the last message
    /// in either direction.
    unsigned work_periods = 10;
};

/// A connection to a peer process; create it with std::make_shared.
///
/// Invariants: `m_outgoing` and the callbacks are used only on the strand; no message is delivered after
/// `closed` was called; at most `outgoing_limit` bytes wait to be sent.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    /// Largest number of bytes queued for a peer. The connection is closed when a slow or stuck peer would
    /// need more.
    static constexpr std::size_t outgoing_limit = 64U * 1024 * 1024;

    struct callbacks {
        /// Called once, before any message, when the peer's hello has arrived and has the right protocol
        /// version.
        std::function<void(const hello_message&)> opened;
        /// Called for each message but the hello; also for heartbeats, whose envelope has the peer's
        /// revision.
        std::function<void(envelope)> received;
        /// Called once when the connection has ended. `reason` is meant for logs.
        std::function<void(const std::string& reason)> closed;
        /// Returns whether this process waits for messages from the peer. If empty, the connection has work
        /// while messages other than heartbeats were sent or received in the last
        /// `heartbeat_settings::work_periods`.
        std::function<bool()> has_work;
        /// Returns the load report to send with each heartbeat; may be empty.
        std::function<std::unique_ptr<load_report_message>()> current_load;
        /// Called with the load report of each heartbeat that contains one; may be empty.
        std::function<void(const load_report_message&)> load_received;
    };

    /// `revision` returns the configuration revision of this process, which is sent with every frame; send()
    /// calls it on the caller's thread. All callbacks run on `strand`, which several connections may share.
    peer_connection(boost::asio::ip::tcp::socket socket,
                    boost::asio::strand<boost::asio::any_io_executor> strand, timer_service& timers,
                    heartbeat_settings heartbeat, hello_message own_hello,
                    std::function<std::uint64_t()> revision, callbacks calls);
    peer_connection(const peer_connection&) = delete;
    peer_connection& operator=(const peer_connection&) = delete;
    peer_connection(peer_connection&&) = delete;
    peer_connection& operator=(peer_connection&&) = delete;
    ~peer_connection() = default;

    /// Sends the hello and starts to read messages and to check for an unresponsive peer.
    void start();

    /// Queues a message; messages are delivered in the order of the calls. Safe to call from any thread.
    /// Throws frame_error when the message is larger than a frame may be.
    void send(message content);

    /// Closes the connection and discards the messages that haven't been written yet. `reason` is passed to
    /// the `closed` callback. Safe to call from any thread.
    void close(const std::string& reason);

    /// Bytes of messages that haven't been passed to the kernel yet. Safe to call from any thread.
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return m_unsent_bytes; }

private:
    void start_on_strand();
    void enqueue_own(const message& content);
    void enqueue(std::vector<std::byte> bytes);
    void write_next();
    void read_header();
    void read_body();
    void read_body_piece();
    void handle_body();
    void read_into(boost::asio::mutable_buffer target, void (peer_connection::*next_step)());
    void handle(envelope received);
    void handle_hello(const hello_message& hello);
    void handle_heartbeat(const heartbeat_message& heartbeat);
    void send_heartbeat(bool is_reply);
    void check_liveness();
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
    callbacks m_callbacks;

    std::deque<std::vector<std::byte>> m_outgoing;
    std::atomic<std::size_t> m_unsent_bytes = 0; ///< of m_outgoing, and on their way to it
    bool m_writing = false;
    bool m_opened = false;
    bool m_finished = false;
    std::uint64_t m_heartbeat_sequence = 0;
    std::array<std::byte, frame_header_size> m_header{};
    std::vector<std::byte> m_body; ///< what has arrived of a frame, or is about to
    std::size_t m_body_size = 0;   ///< of the complete frame, in bytes
    std::chrono::steady_clock::time_point m_last_received;
    std::chrono::steady_clock::time_point m_last_written;
    std::chrono::steady_clock::time_point m_last_message; ///< last message but heartbeats, sent or received
    /// When the first heartbeat was sent that hasn't been followed by a received message; std::nullopt when
    /// there is none.
    std::optional<std::chrono::steady_clock::time_point> m_unanswered_heartbeat;
    timer_subscription m_heartbeat_timer;
};

} // namespace borageford::wire
