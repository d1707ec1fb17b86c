// Implements the HTTP client: Boost.Beast writes the request, response_reader parses the response.
#include "http/client.hpp"

#include "http/response_reader.hpp"
#include "net/peer_end.hpp"
#include "net/tcp_options.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
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

/// How many bytes are received at a time.
constexpr std::size_t read_size = 16U * 1024;

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
        : stream(executor), limits(initial_limits) {}

    [[noreturn]] void fail(exchange_stage stage, bool has_timed_out, const std::string& reason) {
        cancel();
        throw exchange_error(stage, has_timed_out, reason);
    }

    [[noreturn]] void fail(exchange_stage stage, const beast::error_code& error) {
        fail(stage, error == beast::error::timeout, error.message());
    }

    void cancel() noexcept {
        is_cancelled = true;
        boost::system::error_code ignored;
        stream.socket().close(ignored);
    }

    /// Receives bytes, or the end of the connection, and parses them.
    asio::awaitable<void> read_more(exchange_stage stage) {
        beast::error_code error;
        const auto count = co_await stream.async_read_some(input.prepare(read_size),
                                                           asio::redirect_error(asio::use_awaitable, error));
        input.commit(count);
        const bool has_ended = error == asio::error::eof;
        if (error && !has_ended) {
            fail(stage, error);
        }
        if (has_ended && reader.has_head()) {
            co_await confirm_end();
        }
        parse(stage, has_ended);
    }

    /// Returns once it is certain that the server has ended its sending side in order.
    asio::awaitable<void> confirm_end() {
        const auto latest = std::min(std::chrono::steady_clock::now() + limits.idle, body_end);
        asio::steady_timer timer(stream.get_executor());
        for (auto end = net::examine_end(stream.socket()); end != net::peer_end::orderly;
             end = net::examine_end(stream.socket())) {
            if (end == net::peer_end::reset) {
                fail(exchange_stage::reading, asio::error::connection_reset);
            }
            if (std::chrono::steady_clock::now() >= latest) {
                fail(exchange_stage::reading, beast::error::timeout);
            }
            timer.expires_after(net::peer_end_period);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    void parse(exchange_stage stage, bool has_ended) {
        try {
            const auto bytes = input.cdata();
            input.consume(reader.read({static_cast<const char*>(bytes.data()), bytes.size()}, body));
            if (has_ended && !reader.is_complete()) {
                reader.read_end();
            }
        } catch (const response_error& error) {
            fail(stage, false, error.what());
        }
    }

    beast::tcp_stream stream;
    exchange_limits limits;
    response_reader reader{response_reader::body_rule::expected};
    beast::flat_buffer input; ///< bytes that were received and not parsed yet
    std::string body;         ///< the part of the body that read_some() hasn't returned yet
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
    if (call.method == "HEAD") {
        m_state->reader = response_reader(response_reader::body_rule::none);
    }
    while (!m_state->reader.has_head()) {
        co_await m_state->read_more(exchange_stage::waiting);
    }

    m_state->body_end = std::chrono::steady_clock::now() + m_state->limits.body;
    const auto& fields = m_state->reader.fields();
    response_head head;
    head.status = m_state->reader.status();
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const auto [name, value] = fields.at(index);
        head.headers.push_back({std::string(name), std::string(value)});
    }
    co_return head;
}

asio::awaitable<std::string> client_exchange::read_some() {
    while (m_state->body.empty() && !m_state->reader.is_complete()) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_state->body_end) {
            m_state->fail(exchange_stage::reading, beast::error::timeout);
        }
        m_state->stream.expires_at(std::min(now + m_state->limits.idle, m_state->body_end));
        co_await m_state->read_more(exchange_stage::reading);
    }
    m_state->body_bytes += m_state->body.size();
    if (m_state->body_bytes > m_state->limits.body_limit) {
        m_state->fail(exchange_stage::reading, beast::http::error::body_limit);
    }
    co_return std::exchange(m_state->body, {});
}

bool client_exchange::ends_with_connection() const noexcept {
    return m_state->reader.ends_with_connection();
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
