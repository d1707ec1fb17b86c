// Implements response_writer with Boost.Beast.
#include "http/response_writer_state.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace borageford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

beast::http::fields to_library(const header_fields& headers) {
    beast::http::fields fields;
    for (const auto& field : headers) {
        fields.insert(field.name, field.value);
    }
    return fields;
}

} // namespace

asio::awaitable<void> response_writer::write(const response& answer) {
    m_state->begun = true;
    m_state->ended = true;
    beast::http::response<beast::http::string_body> out(
        beast::http::response_header<>(to_library(answer.head.headers)));
    out.version(11);
    out.result(answer.head.status);
    out.body() = answer.body;
    out.keep_alive(m_state->keep_alive);
    out.prepare_payload();
    m_state->stream.expires_after(m_state->write_time);
    co_await beast::http::async_write(m_state->stream, out, asio::use_awaitable);
}

asio::awaitable<void> response_writer::begin(const response_head& head) {
    m_state->begun = true;
    m_state->chunked = true;
    beast::http::response<beast::http::empty_body> out(
        beast::http::response_header<>(to_library(head.headers)));
    out.version(11);
    out.result(head.status);
    out.keep_alive(m_state->keep_alive);
    out.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer(out);
    m_state->stream.expires_after(m_state->write_time);
    co_await beast::http::async_write_header(m_state->stream, serializer, asio::use_awaitable);
}

asio::awaitable<void> response_writer::write_piece(std::string_view piece) {
    if (piece.empty()) {
        co_return; // an empty chunk would mark the end of the response
    }
    m_state->stream.expires_after(m_state->write_time);
    co_await asio::async_write(m_state->stream, beast::http::make_chunk(asio::buffer(piece)),
                               asio::use_awaitable);
}

asio::awaitable<void> response_writer::finish() {
    m_state->ended = true;
    m_state->stream.expires_after(m_state->write_time);
    co_await asio::async_write(m_state->stream, beast::http::make_chunk_last(), asio::use_awaitable);
}

asio::awaitable<void> response_writer::write_raw(std::string bytes, bool keeps_connection) {
    m_state->begun = true;
    m_state->ended = true;
    m_state->keep_alive = m_state->keep_alive && keeps_connection;
    m_state->stream.expires_after(m_state->write_time);
    co_await asio::async_write(m_state->stream, asio::buffer(bytes), asio::use_awaitable);
    if (!keeps_connection) {
        beast::error_code ignored;
        m_state->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }
}

void response_writer::write_before_next(std::string bytes) {
    m_state->before_next = std::move(bytes);
}

std::uint64_t response_writer::connection() const noexcept {
    return m_state->connection_number;
}

void response_writer::abort() noexcept {
    m_state->keep_alive = false;
    m_state->ended = true;
    m_state->stream.close();
}

asio::awaitable<void> response_writer::wait_for_disconnect() {
    const auto shared = m_state;
    if (shared->is_over) {
        co_return;
    }
    auto& socket = shared->stream.socket();
    while (!shared->ended && !shared->is_over) {
        beast::error_code error;
        co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        // Bytes that arrive after the response also end the wait, when the connection may have been
        // destroyed. The connection is therefore used only while the request is in progress.
        if (error || shared->ended || shared->is_over) {
            co_return;
        }
        // The wait can end although no bytes have arrived, when the socket was still marked as readable
        // because of the request's own bytes. A blocking read would then stop this thread, and all requests
        // on it, until the caller disconnects.
        socket.non_blocking(true, error);
        char next = 0;
        socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block || error == asio::error::try_again) {
            continue;
        }
        if (error) {
            co_return;
        }
        // These are bytes of the next request, which is read after this response. Until then the caller
        // counts as connected, so the check is repeated after a pause.
        asio::steady_timer pause(socket.get_executor(), std::chrono::milliseconds(250));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

bool response_writer::has_begun() const noexcept {
    return m_state->begun;
}

} // namespace borageford::http
