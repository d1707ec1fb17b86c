// One caller's connection: reads its requests one after the other and writes their answers.
#pragma once

#include "base/error_kind.hpp"
#include "gateway/gateway_context.hpp"
#include "http/request_reader.hpp"
#include "net/connection.hpp"

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

/// Invariant: at most one request is being answered; bytes of later ones wait in the connection's input.
class client_session : public std::enable_shared_from_this<client_session> {
public:
    client_session(gateway_context& context, boost::asio::ip::tcp::socket socket);
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;
    client_session(client_session&&) = delete;
    client_session& operator=(client_session&&) = delete;

    void start();

    // For the exchange that answers the current request.

    /// A whole answer; `fields` are complete header lines.
    void answer(unsigned status, std::string_view reason, std::string_view fields, std::string_view body);
    /// Starts an answer whose end only finish_stream() marks.
    void begin_stream(unsigned status, std::string_view reason, std::string_view fields);
    void send_piece(std::string_view bytes);
    void finish_stream();
    /// Ends the connection in the middle of an answer: what came can't be taken for the whole.
    void cut();

    /// Bytes that the caller hasn't taken yet.
    [[nodiscard]] std::size_t unsent() const noexcept { return m_connection->unsent(); }

    /// Stops when no request is in progress: idle connections are closed.
    void close_if_idle();
    [[nodiscard]] bool is_idle() const noexcept;

private:
    using clock = std::chrono::steady_clock;

    void take_input();
    void take_end(net::connection_end how);
    void take_drained();
    void read_requests();
    void begin_exchange();
    void refuse(error_kind kind, std::string_view detail,
                std::optional<milliseconds> retry_after = std::nullopt);
    void end_answer();
    void send_head(unsigned status, std::string_view reason, std::string_view fields,
                   std::string_view framing);
    void watch_time();
    void check_time();
    void close();

    gateway_context& m_context;
    std::shared_ptr<net::connection> m_connection;
    http::request_reader m_reader;
    std::shared_ptr<request_exchange> m_exchange;
    timer_subscription m_timer;
    clock::time_point m_request_begin; ///< when the current request's first byte came
    clock::time_point m_idle_since;
    bool m_reads_request = false; ///< a request's first byte has come, its last hasn't
    bool m_keeps_connection = true;
    bool m_has_continued = false;
    bool m_is_closed = false;
};

} // namespace borageford::gateway
