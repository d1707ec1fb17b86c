// Implementation of client_session: reads requests from one connection and writes the answers to it.
#include "gateway/client_session.hpp"

#include "base/request_error.hpp"
#include "events/event_log.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/request_exchange.hpp"
#include "http/message.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace borageford::gateway {

namespace {

/// Above this number of pipelined bytes, reading pauses while a request is being answered; further bytes stay
/// in the kernel.
constexpr std::size_t max_pending_input_bytes = 64U * 1024;
/// How long the caller may still send on a connection that this process is closing. Closing at once would
/// make the kernel send a reset, which could destroy the answer before the caller has read it.
constexpr milliseconds linger_time{1000};
/// How often the idle time and the timeout for a request's head are checked.
constexpr milliseconds time_check_period{500};
constexpr std::size_t max_read_size = 64U * 1024;

http::request_limits reader_limits(const gateway_context& context) {
    const auto configuration = *context.configuration.read();
    if (configuration == nullptr) {
        return {};
    }
    return {configuration->limits().header_bytes, configuration->limits().body_bytes};
}

routing::caller_limits time_limits(const gateway_context& context) {
    const auto configuration = *context.configuration.read();
    return configuration == nullptr ? routing::caller_limits{} : configuration->limits();
}

} // namespace

client_session::client_session(gateway_context& context, boost::asio::ip::tcp::socket socket)
    : m_context(context),
      m_connection(std::make_shared<net::connection>(std::move(socket))),
      m_reader(reader_limits(context)),
      m_request_begin(clock::now()),
      m_idle_since(m_request_begin) {
    m_context.sessions.insert(this);
}

client_session::~client_session() {
    m_context.sessions.erase(this);
}

void client_session::start() {
    const auto self = shared_from_this();
    m_connection->set_handlers({[self] { self->handle_input(); },
                                [self](net::connection_end how) { self->handle_end(how); },
                                [self] {
                                    self->handle_drained();
                                }});
    m_connection->read();
    start_time_checks();
}

void client_session::start_time_checks() {
    m_timer = m_context.timers.every(m_context.executor, time_check_period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check_time();
        }
    });
}

void client_session::check_time() {
    if (m_is_closed || m_exchange != nullptr) {
        return;
    }
    const auto limits = time_limits(m_context);
    const auto now = clock::now();
    if (m_reads_request) {
        if (!m_reader.has_head() && now - m_request_begin > limits.header_time) {
            refuse(error_kind::request_timeout, "the head took too long");
        }
    } else if (now - m_idle_since > limits.idle_time) {
        close();
    }
}

void client_session::handle_input() {
    if (m_exchange != nullptr) {
        if (m_connection->input().size() > max_pending_input_bytes) {
            m_connection->pause_reading();
        }
        return;
    }
    read_requests();
}

void client_session::read_requests() {
    while (m_exchange == nullptr && !m_is_closed && !m_connection->input().empty()) {
        if (!m_reads_request) {
            m_reads_request = true;
            m_request_begin = clock::now();
            m_has_continued = false;
            m_reader = http::request_reader(reader_limits(m_context));
        }
        std::size_t used = 0;
        try {
            used = m_reader.read(m_connection->input());
        } catch (const request_error& error) {
            refuse(error.kind(), error.what());
            return;
        }
        m_connection->consume(used);
        if (m_reader.is_complete()) {
            begin_exchange();
        } else if (used == 0) {
            break;
        }
    }
    if (m_reads_request && m_reader.has_head() && !m_reader.is_complete()) {
        m_connection->set_read_size(
            std::min(max_read_size, std::max<std::size_t>(4096, m_reader.missing_bytes())));
        if (!m_has_continued && m_reader.expects_continue()) {
            m_has_continued = true;
            m_connection->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
}

void client_session::begin_exchange() {
    m_reads_request = false;
    m_connection->set_read_size(4096);
    auto& message = m_reader.message();
    m_keeps_connection = message.keeps_connection && !m_context.is_stopping();
    m_exchange =
        std::make_shared<request_exchange>(m_context, shared_from_this(), std::move(message), clock::now());
    const auto exchange = m_exchange;
    exchange->start();
}

void client_session::handle_end(net::connection_end) {
    close();
}

void client_session::handle_drained() {
    if (m_exchange != nullptr) {
        const auto exchange = m_exchange;
        exchange->handle_drained();
    }
}

void client_session::send_head(unsigned status, std::string_view reason, std::string_view fields,
                               std::string_view framing) {
    if (m_context.is_stopping()) {
        m_keeps_connection = false;
    }
    std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
    line.append(reason).append("\r\n").append(fields);
    if (!m_keeps_connection) {
        line.append("Connection: close\r\n");
    }
    line.append(framing).append("\r\n");
    m_connection->send(line);
}

void client_session::answer(unsigned status, std::string_view reason, std::string_view fields,
                            std::string_view body) {
    if (m_is_closed) {
        return;
    }
    if (m_context.is_stopping()) {
        m_keeps_connection = false;
    }
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reason).append("\r\n").append(fields);
    head.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    head.append(m_keeps_connection ? "\r\n" : "Connection: close\r\n\r\n");
    const std::array<std::string_view, 2> pieces{head, body};
    m_connection->send(pieces);
    end_answer();
}

void client_session::begin_stream(unsigned status, std::string_view reason, std::string_view fields) {
    if (!m_is_closed) {
        send_head(status, reason, fields, "Transfer-Encoding: chunked\r\n");
    }
}

void client_session::send_chunk(std::string_view bytes) {
    if (m_is_closed || bytes.empty()) {
        return;
    }
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    const std::string_view digits(size.data(), static_cast<std::size_t>(end - size.data()));
    const std::array<std::string_view, 4> pieces{digits, "\r\n", bytes, "\r\n"};
    m_connection->send(pieces);
}

void client_session::finish_stream() {
    if (!m_is_closed) {
        m_connection->send("0\r\n\r\n");
        end_answer();
    }
}

void client_session::end_answer() {
    m_exchange.reset();
    m_idle_since = clock::now();
    if (!m_keeps_connection) {
        m_is_closed = true;
        m_timer.cancel();
        m_connection->close_gracefully(linger_time);
        return;
    }
    m_connection->read();
    if (!m_connection->input().empty()) {
        // Posted instead of called, so that a caller with many small requests can't deepen the stack.
        boost::asio::post(m_context.executor, [self = shared_from_this()] {
            if (self->m_exchange == nullptr && !self->m_is_closed) {
                self->read_requests();
            }
        });
    }
}

void client_session::refuse(error_kind kind, std::string_view detail,
                            std::optional<milliseconds> retry_after) {
    m_context.metrics.count_refused(nullptr, kind);
    events::write(events::event_kind::request_malformed,
                  {{"error", to_string(kind)},
                   {"detail", detail},
                   {"bytes", std::uint64_t(m_connection->input().size())}});
    const auto& row = answer_for(kind);
    m_keeps_connection = false;
    const std::string body =
        R"({"error":")" + std::string(row.name) + R"(","detail":")" + std::string(detail) + R"("})";
    std::string fields = "Content-Type: application/json\r\n";
    if (retry_after.has_value()) {
        fields.append("Retry-After: ").append(http::to_seconds_text(*retry_after)).append("\r\n");
    }
    answer(row.http_status, row.name, fields, body);
}

void client_session::abort_answer() {
    close();
}

bool client_session::is_idle() const noexcept {
    return m_exchange == nullptr && !m_reads_request;
}

void client_session::close_if_idle() {
    if (is_idle() && !m_is_closed) {
        m_is_closed = true;
        m_timer.cancel();
        m_connection->close_gracefully(linger_time);
    }
}

void client_session::close() {
    if (m_is_closed) {
        return;
    }
    const auto self = shared_from_this();
    m_is_closed = true;
    m_timer.cancel();
    m_connection->close();
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->cancel();
    }
}

} // namespace borageford::gateway
