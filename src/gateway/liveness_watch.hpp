// A connection to a backend server that tells whether the server's process outlives an answer.
#pragma once

#include "gateway/backend.hpp"
#include "net/connection.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace borageford::gateway {

/// The kernel ends all connections of a process that is killed, within some milliseconds and in the same way
/// in which a server ends one after an answer without a length. So such an answer is whole only if another
/// connection to its server, open since the answer began, doesn't end with it. One that is opened afterwards
/// may still be accepted by the kernel, and tells nothing about a server that has stopped listening.
///
/// Belongs to one thread's executor. Invariant: a connection that has ended is opened again, so that neither
/// the server's idle timeout nor its limit of connections is taken for its end.
class liveness_watch : public std::enable_shared_from_this<liveness_watch> {
public:
    using clock = std::chrono::steady_clock;

    /// What is known of the server's process.
    enum class sign : std::uint8_t {
        alive,         ///< the connection is open
        refused,       ///< the server accepts no connections, and hasn't for a while
        ended_refused, ///< the same, and the connection has ended only just now
        none,          ///< no connection was established, or the server ends each at once
    };

    /// How long after the end of an answer the other connections of a killed process may still end: far more
    /// than a kernel takes for a thousand of them.
    static constexpr std::chrono::milliseconds settling_time{50};

    liveness_watch(boost::asio::any_io_executor executor, std::shared_ptr<backend> server);
    /// Leaves an open connection to the next request.
    ~liveness_watch();
    liveness_watch(const liveness_watch&) = delete;
    liveness_watch& operator=(const liveness_watch&) = delete;
    liveness_watch(liveness_watch&&) = delete;
    liveness_watch& operator=(liveness_watch&&) = delete;

    /// Opens the connection. Must be called once.
    void open();

    /// To be read `settling_time` after the end of the answer.
    [[nodiscard]] sign read(clock::time_point now) const;

private:
    void handle_connected(const boost::system::error_code& error);
    void handle_end();
    void open_later();

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<backend> m_server;
    boost::asio::ip::tcp::socket m_connecting;
    boost::asio::steady_timer m_timer; ///< limits the connecting, or the pause before the next try
    std::shared_ptr<net::connection> m_connection; ///< null unless one is open
    std::optional<clock::time_point> m_ended;      ///< when a connection has last ended
    bool m_is_refused = false;                     ///< the last try was refused
};

} // namespace borageford::gateway
