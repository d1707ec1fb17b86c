// Sends one request to one backend server and reads the response.
#pragma once

#include "gateway/backend.hpp"
#include "gateway/server_connection.hpp"
#include "http/response_reader.hpp"
#include "net/connection.hpp"
#include "policy/slot_request.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// What is known about a call that failed.
enum class call_failure : std::uint8_t {
    refused,     ///< The server refused the connection: no process listens at its address.
    unreachable, ///< No connection was established, so no byte of the request was sent.
    unknown,     ///< The server may have executed the request.
    /// The server was taken out of use, or asked for a pause, or the request may no longer be sent, before a
    /// byte of it was.
    withdrawn,
    /// The server ended the connection after its answer had remained unread for a while, since reading was
    /// paused. This says nothing about the server's health.
    unread,
};

/// The request that a backend_call sends.
struct backend_request {
    std::string head;      ///< Request line and fields, ending with the empty line.
    std::string_view body; ///< Not owned; must outlive the call.
    std::string request_id;
    std::string request_id_name; ///< Name of the field in which the server echoes the request id.
    bool is_head_method = false;
    bool is_retryable = false;
    /// The size of the kernel's buffer for the answer; 0: chosen by the kernel.
    int receive_buffer = 0;
    /// Whether the request may still be sent; asked right before its first byte.
    std::function<bool()> may_be_sent = [] {
        return true;
    };
};

/// The handlers run on the executor, never from within start() or cancel(). Either on_complete or on_failure
/// is called, once, unless the call is cancelled.
class backend_call : public std::enable_shared_from_this<backend_call> {
public:
    using clock = std::chrono::steady_clock;

    struct handlers {
        std::function<void()> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_complete;
        std::function<void(call_failure, std::string_view reason)> on_failure;
    };

    backend_call(boost::asio::any_io_executor executor, std::shared_ptr<backend> server,
                 backend_request request, handlers to_call);

    void start();
    /// Ends the call at once without calling a handler. The server sees its connection close.
    void cancel();

    /// Stops reading until resume() is called. A caller that reads slowly thus slows the server down.
    void pause();
    void resume();
    [[nodiscard]] bool is_paused() const noexcept { return m_paused_at.has_value(); }
    /// How long reading has been paused, in all pauses together.
    [[nodiscard]] clock::duration paused_time() const;
    /// Goes on reading if the server has ended the connection during a pause: what it had sent before is
    /// already held by the kernel.
    void check_paused();
    /// Bytes of the request that the server hasn't taken yet, and of its answer that the kernel holds while
    /// reading is paused.
    [[nodiscard]] std::size_t held_bytes() const;

    /// The server has restarted, so everything that its previous start was working on is lost. The call
    /// fails, unless its connection was opened after the last sign that the previous start had ended and thus
    /// belongs to the new start.
    ///
    /// Without this, requests that were running on a server that crashed during a network partition and came
    /// back stayed on connections that nobody closed, until their callers gave up.
    void handle_restart();

    /// Whether the call holds the connection on which the request, or a part of it, was sent. It gives the
    /// connection back when its answer is complete.
    [[nodiscard]] bool has_connection() const noexcept { return m_connection.has_value(); }
    /// How many requests were sent on the connection before this one; nothing if this one wasn't sent.
    [[nodiscard]] std::optional<std::size_t> sent_before() const noexcept { return m_sent_before; }
    /// Whether the head of the answer was received.
    [[nodiscard]] bool has_head() const noexcept { return m_has_reported_head; }
    /// When the connection was opened on which the response arrives.
    [[nodiscard]] std::chrono::steady_clock::time_point opened_at() const {
        return m_connection->stream()->opened_at();
    }
    /// The software version of the server that received the request; nothing if it isn't certain, because
    /// another version has registered under the server's id since. The present registration may be that of
    /// another process.
    [[nodiscard]] std::optional<policy::software_key> software() const;
    [[nodiscard]] const http::response_reader& response() const noexcept { return *m_reader; }
    [[nodiscard]] const std::shared_ptr<backend>& server() const noexcept { return m_server; }

private:
    void connect();
    void send_on(server_connection connection);
    [[nodiscard]] net::connection& stream() const { return *m_connection->stream(); }
    void handle_input();
    void handle_end(net::connection_end how);
    void expect_response();
    bool read_response();
    bool pass_over(std::size_t count);
    [[nodiscard]] bool belongs_to_this_call() const;
    void report_passed_over() const;
    void complete();
    void fail(call_failure what, std::string_view reason);
    void release_connection();
    [[nodiscard]] bool has_ended_unread() const;

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<backend> m_server;
    backend_request m_request;
    /// Shared, since a handler may end the call, and with it reset this member, while the handler runs.
    std::shared_ptr<const handlers> m_handlers;
    std::optional<server_connection> m_connection;
    std::optional<http::response_reader> m_reader;
    std::string m_body; ///< Body bytes decoded by the last read.
    boost::asio::steady_timer m_connect_timer;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
    std::uint64_t m_bytes_before = 0;         ///< Bytes sent on the connection before this call.
    std::optional<std::size_t> m_sent_before; ///< Requests sent on it before this call.
    bool m_has_reported_head = false;
    /// The response being read belongs to another request and is discarded.
    bool m_is_discarding = false;
    std::size_t m_passed_over = 0; ///< Bytes that were discarded.
    /// A response to another request arrived on the connection, or the server has closed it, or the request
    /// has no id: the connection is not reused.
    bool m_must_close = false;
    bool m_is_over = false;
    std::optional<clock::time_point> m_paused_at; ///< since when reading is paused
    clock::duration m_earlier_pauses{};
    std::size_t m_kernel_bytes = 0; ///< What the kernel held of the answer at the last check_paused().
    /// The server had ended the connection by the end of a pause in which its answer remained unread for long
    /// enough.
    bool m_has_ended_in_pause = false;
    clock::time_point m_long_pause_end; ///< When the last pause ended that was long enough for that.
    std::string m_software;             ///< The registered software version when the request was sent.
    /// The server has restarted, and the request went to either start.
    bool m_is_software_uncertain = false;
};

} // namespace borageford::gateway
