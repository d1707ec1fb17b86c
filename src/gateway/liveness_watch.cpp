// Implementation of liveness_watch.
#include "gateway/liveness_watch.hpp"

#include "gateway/server_connection.hpp"

#include <boost/asio/error.hpp>

#include <utility>

namespace borageford::gateway {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds connect_timeout{300};
/// Short enough for two further tries within the settling time.
constexpr milliseconds retry_delay{15};
/// A connection that the watch leaves is kept for the next request for this long.
constexpr milliseconds keep_time{1000};
/// An end that is older than this has nothing to do with the end of the answer: the settling time, and as
/// much before the answer's end.
constexpr milliseconds recent = 2 * liveness_watch::settling_time;

} // namespace

liveness_watch::liveness_watch(asio::any_io_executor executor, std::shared_ptr<backend> server)
    : m_executor(std::move(executor)),
      m_server(std::move(server)),
      m_connecting(m_executor),
      m_timer(m_executor) {}

liveness_watch::~liveness_watch() {
    if (m_connection != nullptr) {
        m_server->keep_idle(server_connection(std::move(m_connection)), keep_time);
    }
}

void liveness_watch::open() {
    m_connecting = asio::ip::tcp::socket(m_executor);
    m_connecting.async_connect(m_server->record().address,
                               [weak = weak_from_this()](const boost::system::error_code& error) {
                                   if (const auto self = weak.lock()) {
                                       self->handle_connected(error);
                                   }
                               });
    m_timer.expires_after(connect_timeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            boost::system::error_code ignored;
            self->m_connecting.close(ignored);
        }
    });
}

void liveness_watch::handle_connected(const boost::system::error_code& error) {
    m_timer.cancel();
    m_is_refused = error == asio::error::connection_refused;
    if (error || !m_connecting.is_open()) { // the time may have been over just now
        return;
    }
    m_connection = std::make_shared<net::connection>(std::move(m_connecting));
    const auto end = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handle_end();
        }
    };
    m_connection->set_handlers({end, [end](net::connection_end) { end(); }, {}});
    m_connection->read();
}

/// The connection has ended, or bytes have arrived, which belong to no request.
void liveness_watch::handle_end() {
    m_ended = clock::now();
    m_connection->close();
    m_connection.reset();
    open_later();
}

void liveness_watch::open_later() {
    m_timer.expires_after(retry_delay);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self != nullptr) {
            self->open();
        }
    });
}

liveness_watch::sign liveness_watch::read(clock::time_point now) const {
    if (m_connection != nullptr) {
        return sign::alive;
    }
    if (!m_is_refused) {
        return sign::none;
    }
    return m_ended.has_value() && now - *m_ended < recent ? sign::ended_refused : sign::refused;
}

} // namespace borageford::gateway
