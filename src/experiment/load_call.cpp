// Sends a request on an idle connection, or on a new one if there is none, and reads the response.
#include "experiment/load_call.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace borageford::experiment {

namespace asio = boost::asio;

namespace {

std::optional<std::chrono::milliseconds> read_retry_after(const http::field_list& fields) {
    const auto text = fields.find("Retry-After");
    if (!text) {
        return std::nullopt;
    }
    constexpr double thousand = 1000;
    const double seconds = std::atof(std::string(*text).c_str());
    return std::chrono::milliseconds(static_cast<long>(seconds * thousand));
}

} // namespace

std::shared_ptr<net::connection> connection_pool::take(const asio::ip::tcp::endpoint& server) {
    auto& idle = m_idle[server];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_open()) {
            return connection;
        }
    }
    return nullptr;
}

void connection_pool::keep(const asio::ip::tcp::endpoint& server,
                           std::shared_ptr<net::connection> connection) {
    const std::weak_ptr<net::connection> weak = connection;
    const auto close_connection = [weak] {
        if (const auto ended = weak.lock()) {
            ended->close();
        }
    };
    // An idle connection becomes unusable when the server sends bytes without a request or closes the
    // connection.
    connection->set_handlers({close_connection,
                              [close_connection](net::connection_end) { close_connection(); },
                              [] {
                              }});
    connection->read();
    auto& idle = m_idle[server];
    std::erase_if(idle, [](const auto& other) { return !other->is_open(); });
    idle.push_back(std::move(connection));
}

load_call::load_call(asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
                     asio::ip::tcp::endpoint server, std::string request, done on_done)
    : m_executor(std::move(executor)),
      m_pool(std::move(pool)),
      m_server(std::move(server)),
      m_request(std::move(request)),
      m_on_done(std::move(on_done)) {}

void load_call::start() {
    m_result.sent = clock::now();
    auto connection = m_pool->take(m_server);
    if (connection != nullptr) {
        m_result.reused_connection = true;
        send_on(std::move(connection));
    } else {
        connect();
    }
}

void load_call::connect() {
    m_connecting = std::make_shared<asio::ip::tcp::socket>(m_executor);
    const auto self = shared_from_this();
    m_connecting->async_connect(m_server, [self](const boost::system::error_code& error) {
        if (self->m_is_over) {
            return;
        }
        auto socket = std::move(self->m_connecting);
        if (error) {
            self->finish(false);
            return;
        }
        self->send_on(std::make_shared<net::connection>(std::move(*socket)));
    });
}

void load_call::send_on(std::shared_ptr<net::connection> connection) {
    m_result.has_connected = true;
    m_connection = std::move(connection);
    const auto self = shared_from_this();
    m_connection->set_handlers({[self] { self->on_input(); }, [self](net::connection_end) { self->on_end(); },
                                [] {
                                }});
    m_connection->send(m_request);
    if (m_is_reading) {
        m_connection->read();
    }
}

void load_call::read() {
    m_is_reading = true;
    if (m_connection != nullptr) {
        m_connection->read();
    }
}

void load_call::on_input() {
    if (m_is_over) {
        return;
    }
    try {
        const auto used = m_reader.read(m_connection->input(), m_piece);
        m_connection->consume(used);
        process_body();
    } catch (const http::response_error&) {
        finish(false);
    }
}

void load_call::process_body() {
    if (m_reader.has_head() && m_result.status == 0) {
        m_result.status = m_reader.status();
        m_result.retry_after = read_retry_after(m_reader.fields());
        m_result.fields = m_reader.fields();
    }
    const bool is_stream =
        m_reader.has_head() && m_reader.fields().find("Content-Type").value_or("") == "text/event-stream";
    const auto piece = std::exchange(m_piece, {});
    if (is_stream) {
        m_result.event_text += m_events.add(piece);
        if (m_result.events == 0 && m_events.count() > 0) {
            m_result.first_event = clock::now();
        }
        m_result.events = m_events.count();
    } else {
        m_result.body += piece;
    }
    if (m_reader.is_complete()) {
        finish(true);
    }
}

void load_call::on_end() {
    if (m_is_over) {
        return;
    }
    try {
        m_reader.read_end();
        process_body();
    } catch (const http::response_error&) {
        finish(false);
    }
}

void load_call::finish(bool is_complete) {
    if (std::exchange(m_is_over, true)) {
        return;
    }
    m_result.is_complete = is_complete;
    m_result.ended = clock::now();
    if (m_result.first_event == clock::time_point{}) {
        m_result.first_event = m_result.ended;
    }
    auto connection = std::move(m_connection);
    if (connection != nullptr && is_complete && m_reader.keeps_connection() && connection->is_open()) {
        m_pool->keep(m_server, std::move(connection));
    } else if (connection != nullptr) {
        connection->close();
    }
    const auto call = std::move(m_on_done);
    call(m_result);
}

void load_call::cancel() {
    if (std::exchange(m_is_over, true)) {
        return;
    }
    if (m_connecting != nullptr) {
        m_connecting->close();
    }
    if (m_connection != nullptr) {
        m_connection->close();
    }
    m_on_done = nullptr;
}

} // namespace borageford::experiment
