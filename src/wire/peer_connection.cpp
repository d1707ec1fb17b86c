// Reads and writes the frames of a peer_connection and closes it when the peer stops responding.
#include "wire/peer_connection.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace borageford::wire {

namespace asio = boost::asio;

namespace {

/// Largest receive buffer, in bytes, that a connection keeps for the next frame.
constexpr std::size_t max_kept_body_capacity = 64U * 1024;
/// Largest first frame of a peer, a hello, in bytes.
constexpr std::size_t max_hello_size = 64U * 1024;
/// How many bytes of a frame are received at a time. Memory is allocated as they arrive, since a length that
/// is only announced costs its sender nothing.
constexpr std::size_t body_piece_size = 64U * 1024;

} // namespace

peer_connection::peer_connection(asio::ip::tcp::socket socket, strand_type strand, timer_service& timers,
                                 heartbeat_settings heartbeat, hello_message own_hello,
                                 std::function<std::uint64_t()> revision, callbacks calls)
    : m_strand(std::move(strand)),
      m_socket(std::move(socket)),
      m_timers(timers),
      m_heartbeat(heartbeat),
      m_own_hello(std::move(own_hello)),
      m_revision(std::move(revision)),
      m_callbacks(std::move(calls)),
      m_last_received(std::chrono::steady_clock::now()),
      m_last_written(m_last_received),
      m_last_message(m_last_received) {}

void peer_connection::start() {
    asio::dispatch(m_strand, [self = shared_from_this()] { self->start_on_strand(); });
}

void peer_connection::start_on_strand() {
    set_socket_options();
    enqueue_own(m_own_hello);
    m_heartbeat_timer = m_timers.every(m_strand, m_heartbeat.period, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->check_liveness();
        }
    });
    read_header();
}

void peer_connection::set_socket_options() {
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // A process that only sends to its peer, such as a sidecar that streams an answer to an entry, requests
    // no heartbeats. If the network path is lost, the kernel notices that the sent bytes aren't acknowledged
    // and ends the connection.
    const auto limit = static_cast<int>(m_heartbeat.silence_limit.count());
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

void peer_connection::send(message content) {
    auto bytes = encode(m_revision(), content);
    m_unsent_bytes += bytes.size();
    asio::dispatch(m_strand, [self = shared_from_this(), bytes = std::move(bytes)]() mutable {
        self->m_last_message = std::chrono::steady_clock::now();
        self->enqueue(std::move(bytes));
    });
}

void peer_connection::close(const std::string& reason) {
    asio::dispatch(m_strand, [self = shared_from_this(), reason] { self->finish(reason); });
}

/// Queues a message of this class, on the strand.
void peer_connection::enqueue_own(const message& content) {
    auto bytes = encode(m_revision(), content);
    m_unsent_bytes += bytes.size();
    enqueue(std::move(bytes));
}

void peer_connection::enqueue(std::vector<std::byte> bytes) {
    if (m_finished) {
        return;
    }
    if (m_unsent_bytes > outgoing_limit) {
        finish("peer does not read");
        return;
    }
    m_outgoing.push_back(std::move(bytes));
    if (!m_writing) {
        write_next();
    }
}

void peer_connection::write_next() {
    m_writing = true;
    auto done = [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
        self->m_writing = false;
        if (self->m_finished) {
            return;
        }
        if (error) {
            self->finish("write: " + error.message());
            return;
        }
        self->m_last_written = std::chrono::steady_clock::now();
        self->m_unsent_bytes -= self->m_outgoing.front().size();
        self->m_outgoing.pop_front();
        if (!self->m_outgoing.empty()) {
            self->write_next();
        }
    };
    asio::async_write(m_socket, asio::buffer(m_outgoing.front()),
                      asio::bind_executor(m_strand, std::move(done)));
}

/// Reads until `target` is full and then calls `next_step`. A frame_error thrown by `next_step` closes the
/// connection.
void peer_connection::read_into(asio::mutable_buffer target, void (peer_connection::*next_step)()) {
    auto done = [self = shared_from_this(), next_step](const boost::system::error_code& error, std::size_t) {
        if (self->m_finished) {
            return;
        }
        if (error) {
            self->finish("read: " + error.message());
            return;
        }
        try {
            (self.get()->*next_step)();
        } catch (const frame_error& failure) {
            self->finish(failure.what());
        }
    };
    asio::async_read(m_socket, target, asio::bind_executor(m_strand, std::move(done)));
}

void peer_connection::read_header() {
    read_into(asio::buffer(m_header), &peer_connection::read_body);
}

void peer_connection::read_body() {
    m_body.clear();
    m_body_size = decode_length(m_header);
    if (!m_opened && m_body_size > max_hello_size) {
        finish("frame before hello is too large");
        return;
    }
    read_body_piece();
}

void peer_connection::read_body_piece() {
    const auto begin = m_body.size();
    const auto size = std::min(body_piece_size, m_body_size - begin);
    m_body.resize(begin + size);
    read_into(asio::buffer(m_body.data() + begin, size),
              begin + size < m_body_size ? &peer_connection::read_body_piece : &peer_connection::handle_body);
}

void peer_connection::handle_body() {
    handle(decode(m_body));
    if (m_body.capacity() > max_kept_body_capacity) {
        m_body = {}; // otherwise one large frame would occupy its memory until the connection closes
    }
    if (!m_finished) {
        read_header();
    }
}

void peer_connection::handle(envelope received) {
    m_last_received = std::chrono::steady_clock::now();
    m_unanswered_heartbeat.reset();
    if (const auto* hello = std::get_if<hello_message>(&received.content)) {
        handle_hello(*hello);
        return;
    }
    if (!m_opened) {
        finish("message before hello");
        return;
    }
    if (const auto* heartbeat = std::get_if<heartbeat_message>(&received.content)) {
        handle_heartbeat(*heartbeat);
    } else {
        m_last_message = m_last_received;
    }
    if (m_finished) {
        return;
    }
    // Heartbeats are passed on as well, because their envelope contains the peer's configuration revision.
    m_callbacks.received(std::move(received));
}

void peer_connection::handle_hello(const hello_message& hello) {
    if (m_opened) {
        finish("second hello");
        return;
    }
    if (hello.protocol_version != protocol_version) {
        finish("peer speaks protocol version " + std::to_string(hello.protocol_version));
        return;
    }
    m_opened = true;
    m_callbacks.opened(hello);
}

void peer_connection::handle_heartbeat(const heartbeat_message& heartbeat) {
    if (!heartbeat.is_reply) {
        send_heartbeat(true);
    }
    if (heartbeat.load != nullptr && m_callbacks.load_received) {
        m_callbacks.load_received(*heartbeat.load);
    }
}

void peer_connection::send_heartbeat(bool is_reply) {
    heartbeat_message heartbeat;
    heartbeat.sequence = ++m_heartbeat_sequence;
    heartbeat.is_reply = is_reply;
    if (m_callbacks.current_load) {
        heartbeat.load = m_callbacks.current_load();
    }
    enqueue_own(std::move(heartbeat));
}

bool peer_connection::has_work(std::chrono::steady_clock::time_point now) const {
    if (m_callbacks.has_work) {
        return m_callbacks.has_work();
    }
    return now - m_last_message < m_heartbeat.work_periods * m_heartbeat.period;
}

void peer_connection::check_liveness() {
    const auto now = std::chrono::steady_clock::now();
    if (!m_opened) {
        if (now - m_last_received > m_heartbeat.handshake_limit) {
            finish("no handshake");
        }
        return;
    }
    // The timeout starts one period before the first unanswered heartbeat, so an idle connection isn't closed
    // before its peer could reply. On a connection with work, that is about when a message was last received.
    if (m_unanswered_heartbeat &&
        now - std::max(m_last_received, *m_unanswered_heartbeat - m_heartbeat.period) >
            m_heartbeat.silence_limit) {
        finish("silent");
        return;
    }
    // A side that waits for answers needs to receive messages: successful writes don't show that the peer
    // responds. A side that only sends counts its writes as activity and relies on the kernel to detect a
    // lost network path, see set_socket_options().
    const auto last_activity =
        m_callbacks.has_work ? m_last_received : std::max(m_last_received, m_last_written);
    const auto quiet_limit =
        has_work(now) ? m_heartbeat.period : m_heartbeat.idle_periods * m_heartbeat.period;
    // Half a period is subtracted because this function runs once per period: a reply that arrived just after
    // the previous call is slightly less than a full period old now.
    if (m_unanswered_heartbeat || now - last_activity > quiet_limit - m_heartbeat.period / 2) {
        m_unanswered_heartbeat = m_unanswered_heartbeat.value_or(now);
        send_heartbeat(false);
    }
}

void peer_connection::finish(const std::string& reason) {
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_heartbeat_timer.cancel();
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_outgoing.clear();
    m_callbacks.closed(reason);
    // The callbacks are released in a later step: finish() may have been called from one of them, and its
    // captures must stay valid until it returns.
    asio::post(m_strand, [self = shared_from_this()] { self->m_callbacks = {}; });
}

} // namespace borageford::wire
