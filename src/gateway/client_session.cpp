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
constexpr std::size_t max_pending_input_bytes = 16U * 1024;
/// How long the caller may still send on a connection that this process is closing. Closing at once would
/// make the kernel send a reset, which could destroy the answer before the caller has read it.
constexpr milliseconds linger_time{1000};
/// How often the idle time and the timeout for a request's head are checked.
constexpr milliseconds time_check_period{500};
/// Complete requests up to this size are answered although nothing is free: they need little, and refusing
/// them would let the callers who hold the memory keep all others out.
constexpr std::size_t max_small_request = 4096;
/// What a request takes while it is answered, besides its bytes.
constexpr std::size_t request_overhead = 8U * 1024;
/// Retry-After of requests for whose bodies there is no memory. Slow callers are cut within about this time.
constexpr milliseconds no_memory_retry_after{1000};
/// Why the connection of a slow caller is ended, for the log and the metrics.
constexpr std::string_view no_memory_left = "no_memory_left";
constexpr std::string_view nothing_read = "nothing_read";
constexpr std::string_view server_waited = "server_waited";

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

client_session::client_session(gateway_context& context, boost::asio::ip::tcp::socket socket,
                               std::shared_ptr<void> place)
    : m_context(context),
      m_connection(std::make_shared<net::connection>(std::move(socket), std::move(place))),
      m_reader(reader_limits(context)),
      m_account(context.unread, [this] { end_for_memory(); }),
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
                                    self->handle_sent();
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
    const auto now = clock::now();
    check_reading(now);
    check_paused_input();
    if (m_is_closed || m_closes_when_sent || m_exchange != nullptr) {
        return;
    }
    if (m_connection->unsent_bytes() > 0) {
        m_idle_since = now; // the caller still reads an answer
        if (!m_account.has_room()) {
            return; // its next request isn't read
        }
    }
    const auto limits = time_limits(m_context);
    if (m_reads_request) {
        if (m_reader.has_head()) {
            if (now - m_body_begin > m_context.settings.body_time_limit) {
                refuse(error_kind::request_timeout, "the body took too long");
            }
        } else if (now - m_request_begin > limits.header_time) {
            refuse(error_kind::request_timeout, "the head took too long");
        }
    } else if (now - m_idle_since > limits.idle_time) {
        close();
    }
}

/// Notices callers that don't read what is held for them, and servers that wait for such callers.
void client_session::check_reading(clock::time_point now) {
    if (m_is_closed) {
        return;
    }
    const bool is_unread = m_connection->unsent_bytes() > 0;
    m_kernel_bytes = is_unread || m_is_input_paused ? m_connection->kernel_bytes() : 0;
    update_held();
    if (!m_context.unread.is_bounded()) {
        return;
    }
    if (is_unread != m_is_patient) {
        // The kernel would end the connection of a caller that reads nothing for two seconds. The path to one
        // whose bytes have all left the process must be known to work, since a server works for it.
        m_is_patient = is_unread;
        m_connection->set_acknowledgement_timeout(is_unread ? m_context.settings.unread_limit
                                                            : net::liveness_limits{}.acknowledgement_timeout);
    }
    const auto exchange = m_exchange;
    if (m_account.unread_for(now) > m_context.unread.limits().unread) {
        cut_slow(nothing_read);
    } else if (exchange != nullptr && exchange->check_reading()) {
        cut_slow(server_waited);
    }
}

/// The end of a caller that has sent more than is read for now isn't reported by the connection.
void client_session::check_paused_input() {
    if (!m_is_closed && m_is_input_paused && m_connection->has_peer_closed()) {
        close();
    }
}

/// Bytes of a request that isn't complete, or that waits for the answer to the one before it.
std::size_t client_session::count_arriving_bytes() const {
    const auto consumed = m_reads_request ? m_reader.held_bytes() : 0;
    const auto in_kernel = m_is_input_paused ? m_kernel_bytes : 0;
    return consumed + m_connection->input_capacity() + in_kernel;
}

bool client_session::keeps_server_waiting() const noexcept {
    return m_exchange != nullptr && m_exchange->keeps_server_waiting();
}

void client_session::update_held() {
    const auto held_by_exchange = m_exchange != nullptr ? m_exchange->held_bytes() : 0;
    const auto unread_in_kernel = m_is_input_paused ? 0 : m_kernel_bytes;
    const policy::unread_account::held_bytes held{m_connection->unsent_bytes() + unread_in_kernel,
                                                  held_by_exchange + m_head_bytes, count_arriving_bytes()};
    if (held.unread > 0 || held != m_account.held()) {
        m_account.update(held, m_connection->sent_bytes(), clock::now());
    }
}

/// There is no memory left for what is held for this caller.
void client_session::end_for_memory() {
    const bool is_arriving = m_reads_request && !m_closes_when_sent && m_connection->unsent_bytes() == 0;
    if (is_arriving && !m_is_closed) {
        refuse(error_kind::overloaded, "no memory for the request", no_memory_retry_after);
    } else {
        cut_slow(no_memory_left);
    }
}

void client_session::cut_slow(std::string_view reason) {
    if (m_is_closed) {
        return;
    }
    using std::chrono::duration_cast;
    const auto self = shared_from_this();
    m_context.metrics.count_slow_caller_cut(reason);
    events::write(events::event_kind::slow_caller_cut,
                  {{"caller", m_connection->peer_name()},
                   {"reason", reason},
                   {"held", std::uint64_t(m_account.held().sum())},
                   {"unread_ms",
                    std::int64_t(duration_cast<milliseconds>(m_account.unread_for(clock::now())).count())}});
    if (const auto exchange = m_exchange) {
        exchange->abort_slow();
    } else {
        close();
    }
}

void client_session::handle_input() {
    if (m_exchange == nullptr) {
        read_requests();
        return;
    }
    pause_pending_input();
    make_room();
}

/// Leaves it to the kernel to hold what a caller sends before it has its answer.
void client_session::pause_pending_input() {
    if (m_connection->input().size() > max_pending_input_bytes) {
        m_connection->pause_reading();
        m_is_input_paused = true;
    }
}

/// Ends the connections that hold the most of incomplete requests if that is too much, among them perhaps
/// this one.
void client_session::make_room() {
    update_held();
    m_context.unread.relieve_arriving(clock::now());
}

void client_session::read_requests() {
    if (m_closes_when_sent) {
        m_connection->consume(m_connection->input().size());
        return;
    }
    if (!m_account.has_room()) {
        m_connection->pause_reading(); // until it has read its former answers
        return;
    }
    while (m_exchange == nullptr && !m_is_closed && !m_connection->input().empty()) {
        if (!m_reads_request) {
            m_reads_request = true;
            m_request_begin = clock::now();
            m_has_continued = false;
            m_has_body_begun = false;
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
            handle_request();
        } else if (used == 0) {
            break;
        }
    }
    if (m_reads_request && !m_is_closed && m_exchange == nullptr) {
        check_arriving();
    }
}

/// A request of which further bytes must arrive: it is refused while there is no memory for it although the
/// requests that held most were ended.
void client_session::check_arriving() {
    make_room();
    if (m_is_closed || m_closes_when_sent) {
        return;
    }
    if (!m_context.unread.has_room_for_requests()) {
        end_for_memory();
    } else if (m_reader.has_head()) {
        prepare_for_body();
    }
}

void client_session::prepare_for_body() {
    if (!m_has_body_begun) {
        m_has_body_begun = true;
        m_body_begin = clock::now();
        m_connection->set_read_size(net::connection::max_read_size);
    }
    if (!m_has_continued && m_reader.expects_continue()) {
        m_has_continued = true;
        m_connection->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void client_session::handle_request() {
    const auto overhead = m_context.requests_in_progress * request_overhead;
    if (m_reader.held_bytes() > max_small_request && !m_context.unread.has_room_for_requests(overhead)) {
        refuse(error_kind::overloaded, "no memory for the request", no_memory_retry_after);
    } else {
        begin_exchange();
    }
}

void client_session::begin_exchange() {
    m_reads_request = false;
    m_head_bytes = m_reader.head_bytes();
    m_connection->set_read_size(net::connection::default_read_size);
    auto& message = m_reader.message();
    m_keeps_connection = message.keeps_connection && !m_context.is_stopping();
    m_exchange =
        std::make_shared<request_exchange>(m_context, shared_from_this(), std::move(message), clock::now());
    pause_pending_input();
    const auto exchange = m_exchange;
    update_held();
    exchange->start();
}

void client_session::handle_end(net::connection_end) {
    close();
}

void client_session::handle_sent() {
    m_kernel_bytes = 0;
    update_held();
    if (m_exchange != nullptr) {
        const auto exchange = m_exchange;
        exchange->handle_sent();
    } else if (m_closes_when_sent && !m_is_closed) {
        close_when_sent();
    } else if (!m_is_closed && m_account.may_resume()) {
        m_connection->read();
        read_requests();
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
    update_held();
}

void client_session::finish_stream() {
    if (!m_is_closed) {
        m_connection->send("0\r\n\r\n");
        end_answer();
    }
}

void client_session::end_answer() {
    m_exchange.reset();
    m_head_bytes = 0;
    m_idle_since = clock::now();
    update_held();
    if (!m_keeps_connection) {
        close_when_sent();
        return;
    }
    m_is_input_paused = false;
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
    m_reads_request = false;
    const std::string body =
        R"({"error":")" + std::string(row.name) + R"(","detail":")" + std::string(detail) + R"("})";
    std::string fields = "Content-Type: application/json\r\n";
    if (retry_after.has_value()) {
        fields.append("Retry-After: ").append(http::to_seconds_text(*retry_after)).append("\r\n");
    }
    // Freed at once: the caller may leave the refusal unread for long.
    m_reader = http::request_reader(reader_limits(m_context));
    m_connection->consume(m_connection->input().size());
    answer(row.http_status, row.name, fields, body);
}

void client_session::abort_answer() {
    close();
}

bool client_session::is_idle() const noexcept {
    return m_exchange == nullptr && !m_reads_request;
}

client_session::stage client_session::progress() const noexcept {
    if (m_exchange != nullptr || m_closes_when_sent || m_connection->unsent_bytes() > 0) {
        return stage::answering;
    }
    return m_reads_request ? stage::arriving : stage::idle;
}

client_session::clock::time_point client_session::waiting_since() const noexcept {
    return m_reads_request ? m_request_begin : m_idle_since;
}

void client_session::close_if_idle() {
    if (is_idle() && !m_is_closed) {
        close_when_sent();
    }
}

bool client_session::has_sent_request() const noexcept {
    return m_exchange != nullptr && m_exchange->has_been_sent();
}

void client_session::end_request() {
    if (const auto exchange = m_exchange) {
        exchange->handle_stop();
    }
}

/// Closes the connection once the caller has read its answer, however slowly it does. Until then the session
/// exists, so that a process that stops waits for it.
void client_session::close_when_sent() {
    m_closes_when_sent = true;
    if (m_connection->unsent_bytes() > 0) {
        return;
    }
    m_is_closed = true;
    m_timer.cancel();
    const auto limits = reader_limits(m_context);
    m_connection->close_gracefully(linger_time, limits.header_bytes + limits.body_bytes);
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
