// Implements the HTTP client with Boost.Beast.
#include "http/client.hpp"

#include "net/tcp_options.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace borageford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// Largest number of body bytes returned by one call of read_some().
constexpr std::size_t piece_size = 16U * 1024;
/// Largest accepted response head in bytes.
constexpr std::uint32_t head_limit = 64U * 1024;
/// Bytes that are held until they can be parsed. The parser bounds the head only, not the lines between and
/// after the chunks of a body.
constexpr std::size_t buffer_limit = std::size_t(2) * head_limit;

beast::http::request<beast::http::string_body> to_library(const endpoint& server, const request& call) {
    beast::http::request<beast::http::string_body> out;
    out.version(11);
    out.method_string(call.method);
    out.target(call.target);
    out.set(beast::http::field::host, to_string(server));
    for (const auto& field : call.headers) {
        out.set(field.name, field.value);
    }
    out.body() = call.body;
    out.prepare_payload();
    return out;
}

} // namespace

exchange_limits exchange_limits::for_step(std::chrono::milliseconds step) {
    constexpr int steps_of_body = 5;
    exchange_limits result;
    result.connect = step;
    result.head = step;
    result.idle = step;
    result.body = step * steps_of_body;
    return result;
}

struct client_exchange::state {
    state(const asio::any_io_executor& executor, exchange_limits initial_limits)
        : stream(executor), limits(initial_limits) {
        parser.body_limit(boost::none);
        parser.header_limit(head_limit);
    }

    [[noreturn]] void fail(exchange_stage stage, const beast::error_code& error) {
        cancel();
        throw exchange_error(stage, error == beast::error::timeout, error.message());
    }

    void cancel() noexcept {
        is_cancelled = true;
        boost::system::error_code ignored;
        stream.socket().close(ignored);
    }

    beast::tcp_stream stream;
    exchange_limits limits;
    beast::flat_buffer buffer{buffer_limit};
    beast::http::response_parser<beast::http::buffer_body> parser;
    std::size_t body_bytes = 0;
    std::chrono::steady_clock::time_point body_end; ///< when the body must be complete
    bool is_cancelled = false;                      ///< connecting would open the closed socket again
};

client_exchange::client_exchange(const asio::any_io_executor& executor, exchange_limits limits)
    : m_state(std::make_unique<state>(executor, limits)) {}

client_exchange::~client_exchange() = default;

asio::awaitable<response_head> client_exchange::send(const endpoint& server, const request& call) {
    auto& stream = m_state->stream;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    if (m_state->is_cancelled) {
        m_state->fail(exchange_stage::connecting, asio::error::operation_aborted);
    }

    stream.expires_after(m_state->limits.connect);
    co_await stream.async_connect(server, token);
    if (error) {
        m_state->fail(exchange_stage::connecting, error);
    }
    net::prepare_socket(stream.socket());

    const auto out = to_library(server, call);
    stream.expires_after(m_state->limits.head);
    co_await beast::http::async_write(stream, out, token);
    if (error) {
        m_state->fail(exchange_stage::sending, error);
    }
    co_await beast::http::async_read_header(stream, m_state->buffer, m_state->parser, token);
    if (error) {
        m_state->fail(exchange_stage::waiting, error);
    }

    m_state->body_end = std::chrono::steady_clock::now() + m_state->limits.body;
    response_head head;
    head.status = m_state->parser.get().result_int();
    for (const auto& field : m_state->parser.get()) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    co_return head;
}

asio::awaitable<std::string> client_exchange::read_some() {
    auto& parser = m_state->parser;
    while (!parser.is_done()) {
        std::string piece(piece_size, '\0');
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_state->body_end) {
            m_state->fail(exchange_stage::reading, beast::error::timeout);
        }
        m_state->stream.expires_at(std::min(now + m_state->limits.idle, m_state->body_end));
        beast::error_code error;
        co_await beast::http::async_read_some(m_state->stream, m_state->buffer, parser,
                                              asio::redirect_error(asio::use_awaitable, error));
        if (error == beast::http::error::need_buffer) {
            error = {};
        }
        if (error) {
            m_state->fail(exchange_stage::reading, error);
        }
        piece.resize(piece.size() - parser.get().body().size);
        m_state->body_bytes += piece.size();
        if (m_state->body_bytes > m_state->limits.body_limit) {
            m_state->fail(exchange_stage::reading, beast::http::error::body_limit);
        }
        if (!piece.empty()) {
            co_return piece;
        }
    }
    co_return std::string();
}

void client_exchange::cancel() noexcept {
    m_state->cancel();
}

asio::awaitable<response> fetch(asio::any_io_executor executor, const endpoint& server, const request& call,
                                exchange_limits limits) {
    client_exchange exchange(executor, limits);
    co_return co_await fetch(exchange, server, call);
}

asio::awaitable<response> fetch(client_exchange& exchange, const endpoint& server, const request& call) {
    response answer;
    answer.head = co_await exchange.send(server, call);
    for (auto piece = co_await exchange.read_some(); !piece.empty(); piece = co_await exchange.read_some()) {
        answer.body += piece;
    }
    co_return answer;
}

endpoint parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("expected ADDRESS:PORT, for example 127.0.0.1:8080");
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != last) {
        throw std::invalid_argument("expected an IP number and a port, for example 127.0.0.1:8080");
    }
    return {address, port};
}

std::string to_string(const endpoint& address) {
    const auto host = address.address().to_string();
    const auto port = std::to_string(address.port());
    return address.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace borageford::http
