// One TCP connection for code that reacts to bytes: buffered input, output that is written at once where the
// kernel takes it, and one report of its end.
#pragma once

#include "net/byte_buffer.hpp"
#include "net/tcp_options.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

namespace borageford::net {

/// How a connection came to its end, as seen from here.
enum class connection_end : std::uint8_t {
    closed_by_peer, ///< an orderly end of the peer's bytes
    failed,         ///< reset, timed out, unreachable
};

/// Belongs to one thread's executor. Callbacks run on it, never from within a call of a member function, so a
/// caller needn't fear to be entered again; after close() none is called.
class connection : public std::enable_shared_from_this<connection> {
public:
    struct handlers {
        /// New bytes are in input().
        std::function<void()> on_input;
        /// Called once; input() may still hold bytes.
        std::function<void(connection_end)> on_end;
        /// All that was queued has gone to the kernel.
        std::function<void()> on_drained;
    };

    explicit connection(boost::asio::ip::tcp::socket socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    /// Replaces the callbacks; a pooled connection changes hands this way.
    void set_handlers(handlers to_call);

    /// Starts, or goes on, to read.
    void read();
    /// No further read is begun; one under way may still deliver.
    void pause_reading() noexcept { m_wants_input = false; }

    /// Bytes that one read asks for at least; larger for long bodies.
    void set_read_size(std::size_t bytes) noexcept { m_read_size = bytes; }

    [[nodiscard]] std::string_view input() const noexcept { return m_input.readable(); }
    void consume(std::size_t count);

    /// Writes the pieces in order, or queues what the kernel doesn't take.
    void send(std::span<const std::string_view> pieces);
    void send(std::string_view bytes) { send(std::span(&bytes, 1)); }

    /// Bytes queued here because the kernel took no more.
    [[nodiscard]] std::size_t unsent() const noexcept { return m_output.size(); }
    /// False until the kernel has taken the first byte of what was sent: nothing has left this process.
    [[nodiscard]] bool has_sent() const noexcept { return m_sent_bytes > 0; }
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept { return m_sent_bytes; }

    [[nodiscard]] bool is_open() const noexcept { return m_socket.is_open(); }
    /// When this side took it as open.
    [[nodiscard]] std::chrono::steady_clock::time_point opened_at() const noexcept { return m_opened_at; }

    /// Ends the connection at once.
    void close() noexcept;

    /// Sends what is queued, then ends this side's bytes, and closes when the peer has ended its own or after
    /// `linger`. A close with unread bytes would reset the connection and could destroy an answer under way.
    void close_gently(std::chrono::milliseconds linger);

private:
    template <typename Member, typename... Arguments>
    void call(Member member, Arguments... arguments);
    void take_read(const boost::system::error_code& error, std::size_t count);
    void report_end(connection_end how);
    void write_queued();
    void take_written(const boost::system::error_code& error, std::size_t count);
    void shut_down_when_sent();
    std::size_t write_now(std::span<const std::string_view> pieces, boost::system::error_code& error);

    boost::asio::ip::tcp::socket m_socket;
    std::chrono::steady_clock::time_point m_opened_at = std::chrono::steady_clock::now();
    /// Shared, so that a callback may replace the callbacks while it runs.
    std::shared_ptr<const handlers> m_handlers;
    byte_buffer m_input;
    byte_buffer m_output;
    byte_buffer m_writing; ///< what an asynchronous write holds
    std::size_t m_read_size;
    std::uint64_t m_sent_bytes = 0;
    bool m_wants_input = false;
    bool m_reads = false;
    bool m_writes = false;
    bool m_has_ended = false;
    bool m_shuts_down = false; ///< input is discarded; the connection ends with the peer's bytes
};

} // namespace borageford::net
