// Implements the HTTP server with Boost.Beast. Each connection has a coroutine that runs on a strand of its
// own.
#include "http/server.hpp"

#include "base/log.hpp"
#include "http/arriving_request.hpp"
#include "http/request_memory.hpp"
#include "http/response_writer_state.hpp"
#include "net/listening.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <ranges>
#include <utility>

namespace borageford::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

using stream_pointer = std::shared_ptr<beast::tcp_stream>;

/// How many bytes are read at a time.
constexpr std::size_t read_size = 4096;
/// What a connection holds while it waits for a request.
constexpr std::size_t first_read_size = 512;
/// How long the server reads from a caller after it has refused its request.
constexpr std::chrono::seconds linger_time{2};
constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";

/// The reading of one request, which the server may end before the request is complete. Used on the
/// connection's strand only.
struct request_reading {
    explicit request_reading(const stream_pointer& read) : stream(read) {}

    void end(error_kind why) {
        const auto connection = stream.lock();
        if (connection == nullptr || is_over || ended_by.has_value()) {
            return;
        }
        ended_by = why;
        connection->cancel(); // without effect on a read that has just completed, see read_request()
    }

    std::weak_ptr<beast::tcp_stream> stream;
    bool is_over = false; ///< the request is complete or has failed
    std::optional<error_kind> ended_by;
};

/// What the server has of one connection while it is open.
struct server_connection {
    stream_pointer stream;
    std::uint64_t number;
    beast::flat_buffer buffer;
    std::string before_next = {}; ///< what write_before_next() was called with during the previous request
};

/// How far an open connection is.
struct connection_progress {
    enum class stage : std::uint8_t {
        idle,      ///< no byte of a request has arrived
        arriving,  ///< a request has arrived in part
        answering, ///< a request is being answered or refused
        closing,   ///< the connection gives way to another one
    };

    [[nodiscard]] bool is_waiting() const noexcept { return now == stage::idle || now == stage::arriving; }

    stage now = stage::answering;
    std::chrono::steady_clock::time_point since; ///< when it began to wait for a complete request
};

using stage = connection_progress::stage;

} // namespace

struct server::state : std::enable_shared_from_this<server::state> {
    state(const asio::any_io_executor& accept_executor, server_limits server_settings, handler handle_request,
          refusal_formatter format)
        : executor(accept_executor),
          limits(server_settings),
          handle(std::move(handle_request)),
          refuse(std::move(format)),
          memory(server_settings.held_bytes),
          acceptor(asio::make_strand(accept_executor)) {}

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> wait_for_bytes(server_connection& connection);
    static asio::awaitable<beast::error_code> read_request(server_connection& connection,
                                                           request_parser& parser,
                                                           const request_reading& reading,
                                                           request_memory::account& account);
    asio::awaitable<bool> serve_one(server_connection& connection);
    void enter(const stream_pointer& stream, stage next);
    bool close_longest_waiting();
    asio::awaitable<void> answer(const request& call, response_writer& writer);
    asio::awaitable<void> refuse_and_close(beast::tcp_stream& stream, error_kind kind, std::string_view why);
    asio::awaitable<void> linger(beast::tcp_stream& stream) const;
    void drain();
    void close_all();

    asio::any_io_executor executor;
    server_limits limits;
    handler handle;
    refusal_formatter refuse;
    request_memory memory;
    tcp::acceptor acceptor;
    std::atomic<bool> draining = false;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::uint64_t> last_connection = 0;
    std::atomic<std::size_t> in_progress = 0;

    std::mutex open_mutex;
    /// All connections. Guarded by `open_mutex`.
    std::map<stream_pointer, connection_progress> open;
};

asio::awaitable<void> server::state::accept() {
    const auto self = shared_from_this();
    while (!draining.load()) {
        beast::error_code error;
        auto socket = co_await acceptor.async_accept(asio::make_strand(executor),
                                                     asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (draining.load() || error == asio::error::operation_aborted) {
                co_return;
            }
            // The process has most likely run out of file descriptors. The pause avoids a busy loop until
            // some are closed.
            close_longest_waiting();
            asio::steady_timer pause(acceptor.get_executor(), std::chrono::milliseconds(50));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        auto strand = socket.get_executor();
        asio::co_spawn(strand, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> server::state::serve(tcp::socket socket) {
    const auto self = shared_from_this();
    ++connections;
    const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    {
        const std::scoped_lock lock(open_mutex);
        open.emplace(stream, connection_progress{});
    }
    try {
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        if (connections.load() > limits.connections && !close_longest_waiting()) {
            co_await refuse_and_close(*stream, error_kind::too_many_connections, "");
        } else {
            server_connection connection{stream, ++last_connection,
                                         beast::flat_buffer(limits.header_bytes + read_size)};
            while (co_await wait_for_bytes(connection) && co_await serve_one(connection)) {
            }
        }
    } catch (const std::exception&) {
        // The caller has disconnected during a request. The handler that worked on the request has already
        // got the exception from response_writer.
    }
    const std::scoped_lock lock(open_mutex);
    open.erase(stream);
    --connections;
}

/// Records the stage of an open connection. `open_mutex` has to be locked.
void server::state::enter(const stream_pointer& stream, stage next) {
    auto& progress = open.at(stream);
    if (!progress.is_waiting()) {
        progress.since = std::chrono::steady_clock::now();
    }
    progress.now = next;
}

/// Makes room for a connection; returns whether there is one to be closed.
bool server::state::close_longest_waiting() {
    const std::scoped_lock lock(open_mutex);
    auto waiting = open | std::views::filter([](const auto& entry) { return entry.second.is_waiting(); });
    const auto longest =
        std::ranges::min_element(waiting, {}, [](const auto& entry) { return entry.second.since; });
    if (longest == waiting.end()) {
        return false;
    }
    auto& [stream, progress] = *longest;
    progress.now = stage::closing;
    asio::post(stream->get_executor(), [closed = stream] { closed->close(); });
    return true;
}

asio::awaitable<bool> server::state::wait_for_bytes(server_connection& connection) {
    const auto& stream = connection.stream;
    auto& buffer = connection.buffer;
    {
        const std::scoped_lock lock(open_mutex);
        if (buffer.size() > 0) {
            enter(stream, stage::arriving);
            co_return true;
        }
        if (draining.load()) {
            co_return false;
        }
        enter(stream, stage::idle);
    }
    buffer.shrink_to_fit();
    beast::error_code error;
    stream->expires_after(limits.idle_time);
    const auto count = co_await stream->async_read_some(buffer.prepare(first_read_size),
                                                        asio::redirect_error(asio::use_awaitable, error));
    buffer.commit(count);
    const std::scoped_lock lock(open_mutex);
    enter(stream, stage::arriving);
    co_return !error;
}

/// Reads the request piece by piece, so that what is held of it is known at each moment.
asio::awaitable<beast::error_code> server::state::read_request(server_connection& connection,
                                                               request_parser& parser,
                                                               const request_reading& reading,
                                                               request_memory::account& account) {
    auto& stream = *connection.stream;
    auto& buffer = connection.buffer;
    bool has_continued = false;
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    while (true) {
        error = parse_buffered(buffer, parser);
        if (error || parser.is_done()) {
            co_return error;
        }
        account.update(buffer.capacity() + parser.get().body().capacity());
        if (parser.is_header_done() && !has_continued) {
            has_continued = true;
            if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
                co_await asio::async_write(stream, asio::buffer(continue_line), token);
            }
        }
        const auto size = std::min(read_size, buffer.max_size() - buffer.size());
        if (size == 0) {
            co_return beast::http::make_error_code(beast::http::error::buffer_overflow);
        }
        if (!error) {
            buffer.commit(co_await stream.async_read_some(buffer.prepare(size), token));
        }
        if (!error && reading.ended_by.has_value()) {
            error = asio::error::operation_aborted;
        }
        if (error) {
            co_return error;
        }
    }
}

asio::awaitable<bool> server::state::serve_one(server_connection& connection) {
    auto& stream = *connection.stream;
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    // The stream's own timeout would close the socket, and the caller would get no error response.
    stream.expires_never();
    // Shared with handlers that may run after the request has ended. The connection stays open for the error
    // response.
    const auto reading = std::make_shared<request_reading>(connection.stream);
    asio::steady_timer timer(stream.get_executor(), limits.request_time);
    timer.async_wait([reading](const beast::error_code& error) {
        if (!error) {
            reading->end(error_kind::request_timeout);
        }
    });
    request_memory::account account(memory, [reading, executor = stream.get_executor()] {
        asio::post(executor, [reading] { reading->end(error_kind::overloaded); });
    });
    const auto error = co_await read_request(connection, parser, *reading, account);
    reading->is_over = true;
    timer.cancel();
    {
        const std::scoped_lock lock(open_mutex);
        enter(connection.stream, stage::answering);
    }
    if (error) {
        const auto kind = reading->ended_by.has_value() ? reading->ended_by : error_kind_for(error);
        static_cast<void>(parser.release()); // frees what has arrived of the request
        account.release();
        if (kind) {
            co_await refuse_and_close(stream, *kind, error.message());
        }
        co_return false;
    }
    account.complete();
    const auto shared =
        std::make_shared<response_writer::state>(stream, connection.number, limits.write_time);
    shared->keep_alive = parser.get().keep_alive() && !draining.load();
    const auto call = from_library(parser.release());
    response_writer writer(shared);
    if (!connection.before_next.empty()) {
        stream.expires_after(limits.write_time);
        co_await asio::async_write(stream, asio::buffer(connection.before_next), asio::use_awaitable);
    }
    co_await answer(call, writer);
    shared->is_over = true;
    connection.before_next = std::move(shared->before_next);
    const bool can_go_on = shared->keep_alive && shared->ended;
    co_return can_go_on;
}

asio::awaitable<void> server::state::answer(const request& call, response_writer& writer) {
    ++in_progress;
    bool failed = false;
    std::string why;
    try {
        co_await handle(call, writer);
    } catch (const boost::system::system_error&) {
        writer.abort(); // the caller has disconnected
    } catch (const std::exception& problem) {
        failed = true;
        why = problem.what();
    }
    if (failed) {
        log::error("request_handler_failed", {{"target", call.target}, {"why", why}});
        if (writer.has_begun()) {
            writer.abort();
        } else {
            co_await writer.write(refuse(error_kind::internal, why));
        }
    }
    --in_progress;
}

asio::awaitable<void> server::state::refuse_and_close(beast::tcp_stream& stream, error_kind kind,
                                                      std::string_view why) {
    const auto shared = std::make_shared<response_writer::state>(stream, 0, limits.write_time);
    shared->keep_alive = false;
    response_writer writer(shared);
    co_await writer.write(refuse(kind, why));
    co_await linger(stream);
}

// Closing a socket while the caller still sends would reset the connection, and the caller might never
// receive the error response that was just written. Reading and discarding the caller's bytes, for a limited
// time and as many as a request may have, lets the response arrive.
asio::awaitable<void> server::state::linger(beast::tcp_stream& stream) const {
    beast::error_code error;
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    stream.expires_after(linger_time);
    std::array<char, read_size> scrap{};
    const auto max_bytes = limits.header_bytes + limits.body_bytes + read_size;
    for (std::size_t total = 0; !error && total < max_bytes;) {
        total += co_await stream.async_read_some(asio::buffer(scrap),
                                                 asio::redirect_error(asio::use_awaitable, error));
    }
}

void server::state::drain() {
    draining.store(true);
    asio::post(acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
    const std::scoped_lock lock(open_mutex);
    for (const auto& [stream, progress] : open) {
        if (progress.now == stage::idle) {
            asio::post(stream->get_executor(), [idle = stream] { idle->cancel(); });
        }
    }
}

void server::state::close_all() {
    // At once if possible: a caller that sees its connection close must not find the server still listening.
    asio::dispatch(acceptor.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
    drain();
    const std::scoped_lock lock(open_mutex);
    for (const auto& [stream, progress] : open) {
        asio::post(stream->get_executor(), [closed = stream] { closed->close(); });
    }
}

server_limits server_limits::without_body() noexcept {
    server_limits limits;
    limits.body_bytes = 0;
    return limits;
}

server::server(const asio::any_io_executor& executor, server_limits limits, handler handle,
               refusal_formatter refuse)
    : m_state(std::make_shared<state>(executor, limits, std::move(handle), std::move(refuse))) {}

server::~server() {
    m_state->drain();
}

tcp::endpoint server::listen(const tcp::endpoint& address) {
    auto& acceptor = m_state->acceptor;
    const auto in_use = net::listen(acceptor, address);
    asio::co_spawn(acceptor.get_executor(), m_state->accept(), asio::detached);
    return in_use;
}

void server::drain() {
    m_state->drain();
}

void server::close_all() {
    m_state->close_all();
}

std::size_t server::requests_in_progress() const noexcept {
    return m_state->in_progress.load();
}

std::size_t server::open_connections() const noexcept {
    return m_state->connections.load();
}

} // namespace borageford::http
