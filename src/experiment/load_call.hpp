// One request as a caller sends it, and how it ended for that caller.
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

/// Connections that callers keep open between two requests, by address.
class kept_connections {
public:
    /// An open one without a request, or null.
    [[nodiscard]] std::shared_ptr<net::connection> take(const boost::asio::ip::tcp::endpoint& server);
    void keep(const boost::asio::ip::tcp::endpoint& server, std::shared_ptr<net::connection> connection);

private:
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::shared_ptr<net::connection>>> m_idle;
};

struct call_result {
    unsigned status = 0; ///< 0: no head came
    bool has_connected = false;
    bool is_whole = false;
    bool was_kept = false; ///< it went out on a connection that had been used before
    std::uint64_t events = 0;
    std::string body;        ///< of an answer that is no stream
    std::string event_text;  ///< all whole events of a stream, as they came
    http::field_list fields; ///< of the answer's head
    std::optional<std::chrono::milliseconds> retry_after;
    clock::time_point sent;
    clock::time_point first_event; ///< or the whole answer; not set when nothing came
    clock::time_point ended;
};

/// Belongs to one executor. Calls back once, unless it is given up.
class load_call : public std::enable_shared_from_this<load_call> {
public:
    using done = std::function<void(const call_result&)>;

    /// `kept` lives as long as any call that may give a connection back to it.
    load_call(boost::asio::any_io_executor executor, std::shared_ptr<kept_connections> kept,
              boost::asio::ip::tcp::endpoint server, std::string request, done on_done);

    void start();
    /// The caller leaves: its connection is closed and nobody is called.
    void give_up();

private:
    void connect();
    void send_on(std::shared_ptr<net::connection> connection);
    void take_input();
    void take_body();
    void take_end();
    void finish(bool is_whole);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<kept_connections> m_kept;
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
};

} // namespace borageford::experiment
