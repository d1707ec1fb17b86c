// Implementation of backend_call: takes an idle connection or opens one, sends the request and reads the
// response.
#include "gateway/backend_call.hpp"

#include "events/event_log.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Timeout for opening a connection. Within a region this takes a few milliseconds; a server that doesn't
/// accept for this long is unresponsive or has a full listen queue, and another server is the better choice.
constexpr milliseconds connect_timeout{300};
/// Longest idle time of a connection that is reused for a request that must not be retried. The server may be
/// about to close a connection that has been idle for longer, which would leave it unknown whether the
/// request ran.
constexpr milliseconds max_idle_without_retry{1000};
constexpr milliseconds max_idle{30000};
/// How long an idle connection is kept when the server doesn't announce its keep-alive time.
constexpr milliseconds default_keep_alive{4000};
/// Subtracted from the keep-alive time that the server announces, so that the server doesn't close a
/// connection while a request is being sent on it.
constexpr milliseconds keep_alive_margin{500};
/// Servers end an unread answer after at least this time. If a connection ends in a shorter pause, the server
/// may have crashed.
constexpr milliseconds shortest_unread{1000};
/// After a pause, the bytes that the server sent before it ended the connection arrive within this time.
constexpr milliseconds longest_unread_rest{1000};
/// How many bytes a call passes over that aren't its answer: enough for a second answer of any usual length.
constexpr std::size_t max_passed_over = 4U * 1024 * 1024;
constexpr std::string_view unread_reason = "the server ended an answer that remained unread";

milliseconds keep_alive_time(const http::response_reader& response) {
    const auto announced = http::idle_time(response.fields());
    if (!announced.has_value()) {
        return default_keep_alive;
    }
    return std::chrono::duration_cast<milliseconds>(*announced) - keep_alive_margin;
}

} // namespace

backend_call::backend_call(asio::any_io_executor executor, std::shared_ptr<backend> server,
                           backend_request request, handlers to_call)
    : m_executor(std::move(executor)),
      m_server(std::move(server)),
      m_request(std::move(request)),
      m_handlers(std::make_shared<const handlers>(std::move(to_call))),
      m_connect_timer(m_executor) {}

void backend_call::start() {
    m_server->add_call(shared_from_this());
    if (m_request.request_id.empty()) {
        // Nothing tells its answer from those to other requests.
        m_must_close = true;
        connect();
        return;
    }
    const auto idle = m_request.is_retryable ? max_idle : max_idle_without_retry;
    auto connection = m_server->take_idle(m_request.request_id, idle);
    if (connection.has_value()) {
        send_on(*std::move(connection));
    } else {
        connect();
    }
}

void backend_call::connect() {
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_executor);
    if (m_request.receive_buffer > 0) {
        boost::system::error_code ignored; // connecting reports that the socket couldn't be opened
        m_connecting->open(m_server->record().address.protocol(), ignored);
        m_connecting->set_option(asio::socket_base::receive_buffer_size(m_request.receive_buffer), ignored);
    }
    m_connecting->async_connect(m_server->record().address, [self = shared_from_this(),
                                                             socket = m_connecting](
                                                                const boost::system::error_code& error) {
        if (self->m_is_over) {
            return;
        }
        self->m_connect_timer.cancel();
        self->m_connecting.reset();
        if (error) {
            self->m_server->record_connection_failure();
            const bool is_refused = error == asio::error::connection_refused;
            self->fail(is_refused ? call_failure::refused : call_failure::unreachable, "connecting failed");
            return;
        }
        self->m_server->record_life();
        self->send_on(server_connection(std::make_shared<net::connection>(std::move(*socket))));
    });
    m_connect_timer.expires_after(connect_timeout);
    m_connect_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_is_over && self->m_connecting != nullptr) {
            self->m_server->record_connection_failure();
            self->fail(call_failure::unreachable, "connecting took too long");
        }
    });
}

void backend_call::send_on(server_connection connection) {
    const auto stream = connection.stream();
    if (m_server->record().state != routing::backend_state::ready || m_server->backoff_end().has_value()) {
        stream->close();
        fail(call_failure::withdrawn, "the server was taken out of use or asked for a pause");
        return;
    }
    if (!m_request.may_be_sent()) {
        stream->close();
        fail(call_failure::withdrawn, "the request was quarantined");
        return;
    }
    m_sent_before = connection.request_count();
    connection.record(m_request.request_id);
    m_connection.emplace(std::move(connection));
    m_software = m_server->record().version;
    expect_response();
    m_bytes_before = stream->sent_bytes();
    stream->set_handlers({[self = shared_from_this()] { self->handle_input(); },
                          [self = shared_from_this()](net::connection_end how) { self->handle_end(how); },
                          {}});
    const std::array<std::string_view, 2> pieces{m_request.head, m_request.body};
    stream->confirm_end();
    stream->send(pieces);
    stream->read();
}

void backend_call::handle_restart() {
    const bool is_with_new_start =
        !m_connection.has_value() ||
        (m_server->last_connection_failure() != backend::clock::time_point::min() &&
         stream().opened_at() > m_server->last_connection_failure());
    if (is_with_new_start) {
        m_is_software_uncertain = true;
        return;
    }
    asio::post(m_executor, [self = shared_from_this()] {
        if (!self->m_is_over) {
            self->fail(call_failure::unknown, "the server has started anew");
        }
    });
}

std::optional<policy::software_key> backend_call::software() const {
    if (m_is_software_uncertain || m_software != m_server->record().version) {
        return std::nullopt;
    }
    return policy::software_key_of(m_software);
}

void backend_call::pause() {
    if (m_connection.has_value() && !m_paused_at.has_value()) {
        m_paused_at = clock::now();
        stream().pause_reading();
    }
}

void backend_call::resume() {
    if (!m_connection.has_value() || !m_paused_at.has_value()) {
        return;
    }
    const auto length = clock::now() - *m_paused_at;
    m_earlier_pauses += length;
    m_paused_at.reset();
    m_kernel_bytes = 0;
    if (length >= shortest_unread) {
        m_long_pause_end = clock::now();
        m_has_ended_in_pause = m_has_ended_in_pause || stream().has_peer_closed();
    }
    stream().read();
}

backend_call::clock::duration backend_call::paused_time() const {
    return m_earlier_pauses + (is_paused() ? clock::now() - *m_paused_at : clock::duration::zero());
}

/// Whether the answer ended because it had remained unread. The end may arrive only after the bytes that the
/// server's kernel still had to send.
bool backend_call::has_ended_unread() const {
    return m_has_ended_in_pause || clock::now() - m_long_pause_end < longest_unread_rest;
}

void backend_call::check_paused() {
    if (!is_paused() || !m_connection.has_value()) {
        return;
    }
    m_kernel_bytes = stream().kernel_bytes();
    if (stream().has_peer_closed()) {
        resume();
    }
}

std::size_t backend_call::held_bytes() const {
    return m_kernel_bytes + (m_connection.has_value() ? stream().unsent_bytes() : 0);
}

void backend_call::handle_input() {
    const auto self = shared_from_this();
    m_server->record_life();
    try {
        while (!m_is_over && read_response()) {
        }
    } catch (const http::response_error& error) {
        fail(call_failure::unknown, error.what());
    }
}

/// Reads the available bytes. Returns true when they may contain another response.
bool backend_call::read_response() {
    m_body.clear();
    const auto count = m_reader->read(stream().input(), m_body);
    stream().consume(count);
    if (!m_reader->has_head()) {
        return false;
    }
    if (!m_has_reported_head && !m_is_discarding) {
        m_is_discarding = !belongs_to_this_call();
        if (m_is_discarding) {
            m_must_close = true;
            report_passed_over();
        }
        if (!m_is_discarding) {
            m_has_reported_head = true;
            const auto to_call = m_handlers;
            to_call->on_head();
        }
    }
    if (m_is_discarding) {
        return pass_over(count);
    }
    if (!m_is_over && !m_body.empty()) {
        const auto to_call = m_handlers;
        to_call->on_body(m_body);
    }
    if (!m_is_over && m_reader->is_complete()) {
        complete();
    }
    return false;
}

/// Passes over that many bytes of a response that isn't the call's. Returns true when the available bytes may
/// contain another response.
bool backend_call::pass_over(std::size_t count) {
    m_passed_over += count;
    if (m_passed_over > max_passed_over) {
        fail(call_failure::unknown, "too many bytes that belong to no answer");
        return false;
    }
    if (!m_reader->is_complete()) {
        return false;
    }
    m_is_discarding = false;
    expect_response();
    return !stream().input().empty();
}

void backend_call::expect_response() {
    using http::response_reader;
    m_reader.emplace(m_request.is_head_method ? response_reader::body_rule::none
                                              : response_reader::body_rule::expected);
}

bool backend_call::belongs_to_this_call() const {
    if (m_request.request_id.empty()) {
        return true; // the connection has carried nothing else
    }
    return m_reader->fields().all_are(m_request.request_id_name, m_request.request_id);
}

void backend_call::report_passed_over() const {
    events::write(
        events::event_kind::answer_passed_over,
        {{"backend", m_server->record().id},
         {"request", m_request.request_id},
         {"answers", events::excerpt(m_reader->fields().find(m_request.request_id_name).value_or(""))},
         {"status", std::uint64_t(m_reader->status())}});
}

void backend_call::handle_end(net::connection_end how) {
    if (m_is_over) {
        return;
    }
    const auto self = shared_from_this();
    if (how == net::connection_end::failed && !has_ended_unread()) {
        m_server->record_connection_failure();
    }
    const bool has_sent_bytes = stream().sent_bytes() > m_bytes_before;
    const auto failure = has_sent_bytes ? call_failure::unknown : call_failure::unreachable;
    if (has_ended_unread() && how == net::connection_end::failed) {
        fail(call_failure::unread, unread_reason);
        return;
    }
    if (how == net::connection_end::failed || !m_has_reported_head) {
        fail(failure,
             how == net::connection_end::failed ? "the connection failed" : "closed without an answer");
        return;
    }
    try {
        m_reader->read_end();
        m_must_close = true;
        complete();
    } catch (const http::response_error& error) {
        if (has_ended_unread()) {
            fail(call_failure::unread, unread_reason);
        } else {
            fail(call_failure::unknown, error.what());
        }
    }
}

void backend_call::complete() {
    m_is_over = true;
    m_server->remove_call(this);
    release_connection();
    const auto to_call = std::exchange(m_handlers, nullptr);
    to_call->on_complete();
}

void backend_call::release_connection() {
    auto connection = *std::exchange(m_connection, std::nullopt);
    const auto used = connection.stream();
    const bool is_clean =
        !m_must_close && used->input().empty() && m_reader->keeps_connection() && used->is_open();
    const auto keep = keep_alive_time(*m_reader);
    if (is_clean && !connection.is_used_up() && keep > milliseconds::zero()) {
        m_server->keep_idle(std::move(connection), keep);
    } else {
        used->close();
    }
}

void backend_call::fail(call_failure what, std::string_view reason) {
    const auto to_call = std::exchange(m_handlers, nullptr);
    cancel();
    if (to_call != nullptr) {
        to_call->on_failure(what, reason);
    }
}

void backend_call::cancel() {
    m_is_over = true;
    m_server->remove_call(this);
    m_handlers.reset();
    m_connect_timer.cancel();
    if (m_connecting != nullptr) {
        boost::system::error_code ignored;
        m_connecting->close(ignored);
        m_connecting.reset();
    }
    if (m_connection.has_value()) {
        stream().close();
        m_connection.reset();
    }
}

} // namespace borageford::gateway
