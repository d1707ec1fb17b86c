// Sends one HTTP request as an emulated caller, and records the response.
#pragma once

#include "http/event_splitter.hpp"
#include "http/field_list.hpp"
#include "http/response_reader.hpp"
#include "net/connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace borageford::experiment {

using clock = std::chrono::steady_clock;

/// A pool of idle connections to gateways, by address.
class connection_pool {
public:
    /// Removes an open connection from the pool and returns it; null when there is none.
    [[nodiscard]] std::shared_ptr<net::connection> take(const boost::asio::ip::tcp::endpoint& server);
    /// Adds a connection on which no request is in progress.
    void keep(const boost::asio::ip::tcp::endpoint& server, std::shared_ptr<net::connection> connection);

private:
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::shared_ptr<net::connection>>> m_idle;
};

/// How a request ended for its caller.
struct call_result {
    unsigned status = 0;            ///< 0: no response head was received
    bool has_connected = false;     ///< a connection was established or reused
    bool is_complete = false;       ///< the response is complete
    bool reused_connection = false; ///< the request was sent on a connection that had been used before
    std::uint64_t events = 0;       ///< complete events of a stream
    std::string body;               ///< of a response that is no stream
    std::string event_text;         ///< all complete events of a stream, unchanged
    http::field_list fields;        ///< the header fields of the response
    std::optional<std::chrono::milliseconds> retry_after; ///< from the header Retry-After
    clock::time_point sent;
    clock::time_point first_event; ///< when the first event of a stream came; without one, equal to `ended`
    clock::time_point ended;
};

/// One call. Must be used on one executor only. Calls `on_done` exactly once, unless cancel() is called
/// before.
class load_call : public std::enable_shared_from_this<load_call> {
public:
    using done = std::function<void(const call_result&)>;

    /// `pool` is the pool from which the call takes its connection and to which it returns the connection.
    /// `request` is the complete text of the request.
    load_call(boost::asio::any_io_executor executor, std::shared_ptr<connection_pool> pool,
              boost::asio::ip::tcp::endpoint server, std::string request, done on_done);

    void start();
    /// Reads nothing of the answer until read() is called, as a slow caller does. Called before start().
    void hold_reading() noexcept { m_is_reading = false; }
    void read();
    /// Closes the connection, as a caller that gives up does; `on_done` isn't called.
    void cancel();

private:
    void connect();
    void send_on(std::shared_ptr<net::connection> connection);
    void on_input();
    void process_body();
    void on_end();
    void finish(bool is_complete);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<connection_pool> m_pool;
    boost::asio::ip::tcp::endpoint m_server;
    std::string m_request;
    done m_on_done;
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
    std::shared_ptr<net::connection> m_connection;
    http::response_reader m_reader{http::response_reader::body_rule::expected};
    http::event_splitter m_events;
    std::string m_piece;
    call_result m_result;
    bool m_is_over = false;
    bool m_is_reading = true;
};

} // namespace borageford::experiment
