// A TCP connection with callbacks: it buffers input, writes output at once as far as the kernel accepts it
// and queues the remaining bytes, and reports its end once.
#pragma once

#include "net/block_queue.hpp"
#include "net/byte_buffer.hpp"
#include "net/tcp_options.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace borageford::net {

/// How a connection ended.
enum class connection_end : std::uint8_t {
    closed_by_peer, ///< the peer has closed its sending side in order
    failed,         ///< the connection was reset, timed out or became unreachable
};

/// A connection used on the executor of a single thread; create it with std::make_shared. Handlers run on
/// that executor and never from within a call of a member function, so callers need no protection against
/// re-entrance. No handler is called after close().
class connection : public std::enable_shared_from_this<connection> {
public:
    struct handlers {
        /// New bytes were appended to input().
        std::function<void()> on_input;
        /// The connection has ended; called once. input() may still contain unread bytes.
        std::function<void(connection_end)> on_end;
        /// Queued output has been passed to the kernel; unsent_bytes() tells how much is left.
        std::function<void()> on_sent;
    };

    /// How many bytes are received at a time unless set_read_size() is called: enough for a typical request
    /// head.
    static constexpr std::size_t default_read_size = 4096;
    static constexpr std::size_t max_read_size = 64U * 1024;

    /// `place` is kept until the connection is closed.
    explicit connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<void> place = nullptr);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /// Replaces the handlers, for example when a pooled connection gets a new user.
    void set_handlers(handlers new_handlers);

    /// Starts or resumes reading.
    void read();
    /// From now on, the peer's end is reported as connection_end::closed_by_peer only once the peer has
    /// received all that was sent to it, and as connection_end::failed if the connection is reset before
    /// that.
    void confirm_end() noexcept { m_confirms_end = true; }
    /// Stops reading. A read that is in progress may still call on_input once.
    void pause_reading() noexcept { m_is_reading_enabled = false; }

    /// Sets how many bytes are received at a time, at most `max_read_size`; a larger size suits long bodies.
    void set_read_size(std::size_t bytes) noexcept { m_read_size = bytes; }

    /// The bytes that were received and not consumed yet.
    [[nodiscard]] std::string_view input() const noexcept { return m_input.readable(); }
    /// Memory that is held for input(), in bytes.
    [[nodiscard]] std::size_t input_capacity() const noexcept { return m_input.capacity(); }
    /// Removes `count` bytes from the front of input().
    void consume(std::size_t count);

    /// Writes the pieces in order and queues the bytes that the kernel doesn't accept. Does nothing once the
    /// connection has ended; a write error is reported with on_end.
    void send(std::span<const std::string_view> pieces);
    void send(std::string_view bytes) { send(std::span(&bytes, 1)); }

    /// Number of queued bytes that the kernel hasn't accepted yet.
    [[nodiscard]] std::size_t unsent_bytes() const noexcept { return m_output.size(); }
    /// Number of bytes that the kernel holds: received and not read yet, or sent and not acknowledged. A
    /// system call each time.
    [[nodiscard]] std::size_t kernel_bytes();
    /// Whether the peer has closed its sending side or the connection was reset, which is reported only after
    /// all bytes before it were read. Of use while reading is paused. A system call each time.
    [[nodiscard]] bool has_peer_closed();
    /// Sets after how long without an acknowledgement, or without room at the peer, the kernel ends the
    /// connection; see liveness_limits.
    void set_acknowledgement_timeout(std::chrono::milliseconds timeout);
    /// Whether the kernel has accepted any byte. While it is false, nothing has left this process.
    [[nodiscard]] bool has_sent() const noexcept { return m_sent_bytes > 0; }
    /// Number of bytes that the kernel has accepted since the connection was opened.
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept { return m_sent_bytes; }

    /// The peer's address, for logs; empty if the connection has ended.
    [[nodiscard]] std::string peer_name() const;
    [[nodiscard]] bool is_open() const noexcept { return m_socket.is_open(); }
    /// When this object was created.
    [[nodiscard]] std::chrono::steady_clock::time_point opened_at() const noexcept { return m_opened_at; }

    /// Closes the connection immediately and discards queued output.
    void close() noexcept;

    /// Sends the queued output, shuts down the sending side, and closes the connection when the peer has shut
    /// down its own, has sent `most_discarded` further bytes, or after `linger`. Closing a socket with unread
    /// input would reset the connection, and the peer could lose an answer that is still in transit.
    void close_gracefully(std::chrono::milliseconds linger, std::size_t most_discarded);

private:
    template <typename Member, typename... Arguments>
    void call(Member member, Arguments... arguments);
    void handle_read(boost::system::error_code error, std::size_t count);
    std::size_t read_more(boost::system::error_code& error);
    void discard(const boost::system::error_code& error, std::size_t count);
    void report_end(connection_end how);
    void examine_end();
    void write_queued();
    void handle_written(const boost::system::error_code& error, std::size_t count);
    void shut_down_when_sent();
    std::size_t write_now(std::span<const std::string_view> pieces, boost::system::error_code& error);

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<void> m_place;
    std::chrono::steady_clock::time_point m_opened_at = std::chrono::steady_clock::now();
    /// Shared, so that a handler stays valid while it replaces the handlers.
    std::shared_ptr<const handlers> m_handlers;
    /// What a read that waits for bytes can write to. All else of a read goes through a buffer of the thread,
    /// so that a connection on which nothing arrives holds no more than this object.
    std::array<char, 1024> m_first_bytes{};
    byte_buffer m_input;
    block_queue m_output; ///< the bytes at its front are those of the asynchronous write in progress
    std::size_t m_read_size;
    std::size_t m_left_to_discard = 0; ///< valid after close_gracefully()
    std::uint64_t m_sent_bytes = 0;
    bool m_is_reading_enabled = false;
    bool m_is_reading = false;
    bool m_is_writing = false;
    bool m_confirms_end = false;
    /// Fires when an end that the peer may still follow up with a reset is to be examined again.
    std::optional<boost::asio::steady_timer> m_end_timer;
    bool m_is_end_reported = false;
    bool m_is_shutting_down =
        false; ///< close_gracefully() was called: input is discarded until the peer closes
};

} // namespace borageford::net
