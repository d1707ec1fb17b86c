// Implements connection. Reads are asynchronous. Writes are attempted synchronously first, because the kernel
// nearly always accepts all bytes at once.
#include "net/connection.hpp"

#include "net/peer_end.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <utility>

namespace borageford::net {

namespace asio = boost::asio;

namespace {

/// Largest number of pieces passed to one gathered write; further pieces are queued.
constexpr std::size_t max_gathered_pieces = 8;

using gathered_buffers = std::array<asio::const_buffer, max_gathered_pieces>;

/// Unused buffers are empty.
gathered_buffers gather(std::span<const std::string_view> pieces) {
    gathered_buffers buffers;
    const auto count = std::min(pieces.size(), buffers.size());
    for (std::size_t index = 0; index < count; ++index) {
        buffers.at(index) = asio::buffer(pieces[index].data(), pieces[index].size());
    }
    return buffers;
}

} // namespace

connection::connection(asio::ip::tcp::socket socket, std::shared_ptr<void> place)
    : m_socket(std::move(socket)), m_place(std::move(place)), m_read_size(default_read_size) {
    prepare_socket(m_socket);
}

connection::~connection() = default;

void connection::set_handlers(handlers new_handlers) {
    m_handlers = std::make_shared<const handlers>(std::move(new_handlers));
}

template <typename Member, typename... Arguments>
void connection::call(Member member, Arguments... arguments) {
    const auto current = m_handlers;
    if (current != nullptr && (*current).*member) {
        ((*current).*member)(arguments...);
    }
}

void connection::read() {
    m_is_reading_enabled = true;
    if (m_is_reading || m_is_end_reported || !m_socket.is_open()) {
        return;
    }
    m_is_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_first_bytes, m_read_size),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            self->handle_read(error, count);
        });
}

/// Receives what follows m_first_bytes, as far as it has arrived; returns how many bytes.
std::size_t connection::read_more(boost::system::error_code& error) {
    thread_local std::array<char, max_read_size> received;
    const auto size = std::min(received.size(), m_read_size - m_first_bytes.size());
    const auto count = m_socket.read_some(asio::buffer(received, size), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        error = {};
    }
    if (!m_is_shutting_down) {
        m_input.append(std::string_view(received.data(), count));
    }
    return count;
}

void connection::handle_read(boost::system::error_code error, std::size_t count) {
    m_is_reading = false;
    if (!m_socket.is_open()) {
        return;
    }
    if (!m_is_shutting_down) {
        m_input.append(std::string_view(m_first_bytes.data(), count));
    }
    if (!error && count == m_first_bytes.size() && m_read_size > count) {
        count += read_more(error);
    }
    if (m_is_shutting_down) {
        discard(error, count);
        return;
    }
    if (count > 0) {
        call(&handlers::on_input);
    }
    if (error == asio::error::eof) {
        examine_end();
    } else if (error) {
        report_end(connection_end::failed);
    } else if (m_is_reading_enabled) {
        read();
    }
}

/// Reports the peer's end, later if it isn't certain yet.
void connection::examine_end() {
    if (m_is_end_reported || !m_socket.is_open()) {
        return;
    }
    const auto end = m_confirms_end ? net::examine_end(m_socket) : peer_end::orderly;
    const bool is_undecided = end == peer_end::undecided || (m_confirms_end && !m_output.is_empty());
    if (end == peer_end::reset || !is_undecided) {
        report_end(end == peer_end::reset ? connection_end::failed : connection_end::closed_by_peer);
        return;
    }
    m_end_timer.emplace(m_socket.get_executor(), peer_end_period);
    m_end_timer->async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error) {
            self->examine_end();
        }
    });
}

void connection::discard(const boost::system::error_code& error, std::size_t count) {
    if (error || count >= m_left_to_discard) {
        close();
        return;
    }
    m_left_to_discard -= count;
    read();
}

void connection::consume(std::size_t count) {
    m_input.consume(count);
    m_input.release();
}

void connection::report_end(connection_end how) {
    if (m_is_end_reported) {
        return;
    }
    m_is_end_reported = true;
    call(&handlers::on_end, how);
}

std::size_t connection::write_now(std::span<const std::string_view> pieces,
                                  boost::system::error_code& error) {
    const auto written = m_socket.write_some(gather(pieces), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        error = {};
    }
    return written;
}

void connection::send(std::span<const std::string_view> pieces) {
    if (!m_socket.is_open() || m_is_end_reported) {
        return;
    }
    std::size_t written = 0;
    if (m_output.is_empty()) {
        boost::system::error_code error;
        written = write_now(pieces, error);
        m_sent_bytes += written;
        if (error) {
            // Reported from a posted callback, because handlers are never called from within send().
            asio::post(m_socket.get_executor(),
                       [self = shared_from_this()] { self->report_end(connection_end::failed); });
            return;
        }
    }
    for (const auto piece : pieces) {
        const auto skipped = std::min(written, piece.size());
        written -= skipped;
        m_output.append(piece.substr(skipped));
    }
    if (!m_output.is_empty()) {
        write_queued();
    }
}

void connection::write_queued() {
    if (m_is_writing) {
        return;
    }
    m_is_writing = true;
    std::array<std::string_view, max_gathered_pieces> pieces;
    const auto count = m_output.front(pieces);
    m_socket.async_write_some(
        gather(std::span(pieces).first(count)),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t written) {
            self->handle_written(error, written);
        });
}

void connection::handle_written(const boost::system::error_code& error, std::size_t count) {
    m_is_writing = false;
    if (!m_socket.is_open()) {
        return;
    }
    m_sent_bytes += count;
    m_output.consume(count);
    if (error) {
        report_end(connection_end::failed);
        return;
    }
    if (!m_output.is_empty()) {
        write_queued();
    } else if (m_is_shutting_down) {
        shut_down_when_sent();
        return;
    }
    call(&handlers::on_sent);
}

std::size_t connection::kernel_bytes() {
    boost::system::error_code ignored;
    const auto received = m_socket.available(ignored);
    int unsent = 0;
    if (::ioctl(m_socket.native_handle(), SIOCOUTQ, &unsent) != 0) {
        unsent = 0;
    }
    return received + static_cast<std::size_t>(unsent);
}

bool connection::has_peer_closed() {
    if (!m_socket.is_open()) {
        return true;
    }
    ::pollfd watched{m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&watched, 1, 0) > 0;
}

std::string connection::peer_name() const {
    boost::system::error_code error;
    const auto peer = m_socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

void connection::set_acknowledgement_timeout(std::chrono::milliseconds timeout) {
    net::set_acknowledgement_timeout(m_socket, timeout);
}

void connection::close() noexcept {
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_end_timer.reset();
    m_handlers.reset();
    m_place.reset();
}

void connection::shut_down_when_sent() {
    if (!m_output.is_empty()) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    consume(m_input.size());
    read();
}

void connection::close_gracefully(std::chrono::milliseconds linger, std::size_t most_discarded) {
    if (!m_socket.is_open() || m_is_shutting_down) {
        return;
    }
    if (m_is_end_reported) {
        close();
        return;
    }
    m_handlers.reset();
    m_is_shutting_down = true;
    m_left_to_discard = most_discarded;
    const auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(), linger);
    timer->async_wait(
        [self = shared_from_this(), timer](const boost::system::error_code&) { self->close(); });
    shut_down_when_sent();
}

} // namespace borageford::net
