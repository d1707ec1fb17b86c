// A caller's connection: reads its requests one after another and writes the answers.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/gateway_context.hpp"
#include "http/request_reader.hpp"
#include "net/connection.hpp"
#include "policy/unread_memory.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace borageford::gateway {

class request_exchange;

/// Invariant: at most one request is being answered; bytes of later (pipelined) requests wait in the
/// connection's input.
class client_session : public std::enable_shared_from_this<client_session> {
public:
    using clock = std::chrono::steady_clock;

    /// How far the connection is. In the order in which connections are closed when there are too many.
    enum class stage : std::uint8_t {
        idle,      ///< no byte of a request has arrived
        arriving,  ///< a request has arrived in part
        answering, ///< a request is being answered, or its answer is being sent
    };

    /// `place` is kept until the connection is closed.
    client_session(gateway_context& context, boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<void> place);
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;
    client_session(client_session&&) = delete;
    client_session& operator=(client_session&&) = delete;

    /// Starts reading requests.
    void start();

    // Called by the request_exchange that answers the current request.

    /// Sends a complete answer. `fields` are complete header lines, each with its line end.
    void answer(unsigned status, std::string_view reason, std::string_view fields, std::string_view body);
    /// Sends the head of a streamed answer, which ends with finish_stream() or abort_answer().
    void begin_stream(unsigned status, std::string_view reason, std::string_view fields);
    /// Sends bytes of the stream as one chunk.
    void send_chunk(std::string_view bytes);
    /// Sends the end of the stream.
    void finish_stream();
    /// Closes the connection in the middle of an answer, so that the caller can't mistake what it has
    /// received for the complete answer.
    void abort_answer();

    /// What is held for this caller. Up to date after each call of update_held() and of the functions above.
    [[nodiscard]] const policy::unread_account& account() const noexcept { return m_account; }
    /// Whether a server's answer is paused until the caller has read what is held for it.
    [[nodiscard]] bool keeps_server_waiting() const noexcept;
    /// The exchange holds more or less than before.
    void update_held();
    /// The caller reads too slowly: closes the connection, whether or not an answer is complete.
    void cut_slow(std::string_view reason);

    /// Closes the connection if no request is being read or answered. Called while the process shuts down.
    void close_if_idle();
    /// Whether the request in progress was sent to a backend server.
    [[nodiscard]] bool has_sent_request() const noexcept;
    /// The process is about to exit: answers the request in progress, if there is one.
    void end_request();
    [[nodiscard]] bool is_idle() const noexcept;
    [[nodiscard]] stage progress() const noexcept;
    /// Since when the connection has been in a stage before `answering`.
    [[nodiscard]] clock::time_point waiting_since() const noexcept;
    /// Closes a connection whose stage isn't `answering`, so that another caller gets its place.
    void close_for_others() { close(); }

private:
    void handle_input();
    void handle_end(net::connection_end how);
    void handle_sent();
    void check_arriving();
    void prepare_for_body();
    void pause_pending_input();
    void make_room();
    void end_for_memory();
    void check_reading(clock::time_point now);
    void check_paused_input();
    [[nodiscard]] std::size_t count_arriving_bytes() const;
    void read_requests();
    void handle_request();
    void begin_exchange();
    void refuse(error_kind kind, std::string_view detail,
                std::optional<milliseconds> retry_after = std::nullopt);
    void end_answer();
    void send_head(unsigned status, std::string_view reason, std::string_view fields,
                   std::string_view framing);
    void start_time_checks();
    void check_time();
    void close_when_sent();
    void close();

    gateway_context& m_context;
    std::shared_ptr<net::connection> m_connection;
    http::request_reader m_reader;
    std::shared_ptr<request_exchange> m_exchange;
    policy::unread_account m_account;
    std::size_t m_kernel_bytes = 0; ///< Bytes that the kernel holds for the caller, when last asked.
    std::size_t m_head_bytes = 0;   ///< Length of the head of the request that is being answered.
    bool m_is_input_paused = false; ///< Whether further bytes wait in the kernel for the current answer.
    bool m_is_patient = false;      ///< Whether the connection has the longer timeout of slow callers.
    timer_subscription m_timer;
    clock::time_point m_request_begin; ///< When the first byte of the current request arrived.
    clock::time_point m_body_begin;    ///< When its header was complete; valid while its body arrives.
    clock::time_point m_idle_since;
    bool m_reads_request = false; ///< Whether the first byte of a request has arrived and its last has not.
    bool m_keeps_connection = true;
    bool m_has_continued = false;
    bool m_has_body_begun = false;
    bool m_closes_when_sent = false;
    bool m_is_closed = false;
};

} // namespace borageford::gateway
