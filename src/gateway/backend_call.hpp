// One request sent to one backend server, and its response as it comes.
#pragma once

#include "gateway/backend.hpp"
#include "http/response_reader.hpp"
#include "net/connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// What is known about a call that failed.
enum class call_failure : std::uint8_t {
    unreachable, ///< no connection: nothing left this process
    unknown,     ///< the server may have run it
};

/// What a backend call is asked to send.
struct backend_request {
    std::string head;      ///< with its empty line
    std::string_view body; ///< outlives the call
    std::string request_id;
    std::string request_id_name; ///< the field that the server echoes
    bool is_head_method = false;
    bool is_repeatable = false;
};

/// Calls back on its executor, never from within start() or cancel().
class backend_call : public std::enable_shared_from_this<backend_call> {
public:
    struct handlers {
        std::function<void()> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_complete;
        std::function<void(call_failure, std::string_view reason)> on_failure;
    };

    backend_call(boost::asio::any_io_executor executor, std::shared_ptr<backend> server,
                 backend_request request, handlers to_call);

    void start();
    /// Ends the call at once; the server sees its connection close.
    void cancel();

    /// Stops reading until resume() is called, so that a slow caller slows the server down.
    void pause();
    void resume();

    /// The server has started anew, so what the former start worked on is lost. A call goes on when its
    /// connection is younger than the last sign that the former start had ended: it is with the new one.
    ///
    /// Without this, a server that crashed behind a cut and came back left its requests waiting on
    /// connections that nobody would ever close, until their callers gave up.
    void take_restart();

    [[nodiscard]] const http::response_reader& response() const noexcept { return *m_reader; }
    [[nodiscard]] const std::shared_ptr<backend>& server() const noexcept { return m_server; }

private:
    void connect();
    void send_on(std::shared_ptr<net::connection> connection);
    void take_input();
    void take_end(net::connection_end how);
    bool read_response();
    [[nodiscard]] bool belongs_to_this_call() const;
    void complete();
    void fail(call_failure what, std::string_view reason);
    void release_connection();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<backend> m_server;
    backend_request m_request;
    /// Shared, since a callback may end the call while it runs.
    std::shared_ptr<const handlers> m_handlers;
    std::shared_ptr<net::connection> m_connection;
    std::optional<http::response_reader> m_reader;
    std::string m_body; ///< bytes of the body that the last read gave
    boost::asio::steady_timer m_connect_timer;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
    std::uint64_t m_sent_before = 0; ///< of the connection, when this call began
    bool m_has_told_head = false;
    bool m_is_surplus = false;  ///< the response being read answers another request
    bool m_is_poisoned = false; ///< the connection has shown bytes that belong to no request of ours
    bool m_is_over = false;
};

} // namespace borageford::gateway
