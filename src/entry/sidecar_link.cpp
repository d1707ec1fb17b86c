// Connects to a sidecar and passes its messages to the requests that they concern.
#include "entry/sidecar_link.hpp"

#include "base/log.hpp"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>

#include <type_traits>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using steady_clock = std::chrono::steady_clock;

namespace {

/// How long a sidecar gets no new offers after an attempt to connect to it has failed. Otherwise each new
/// request would wait for a connection that is likely to fail again.
constexpr std::chrono::milliseconds unreachable_duration{500};

/// True for the messages that concern one dispatch; they are passed to the listener of that dispatch.
template <typename Message>
constexpr bool is_dispatch_event =
    std::is_constructible_v<dispatch_event, Message> && !std::is_same_v<Message, connection_lost> &&
    !std::is_same_v<Message, caller_disconnected>;

} // namespace

sidecar_link::sidecar_link(const link_context& context, store::vm vm)
    : m_context(context),
      m_vm(std::move(vm)),
      m_strand(asio::make_strand(context.executor)),
      m_last_message_time(steady_clock::now()) {}

void sidecar_link::send_for_dispatch(const dispatch_id& dispatch,
                                     const std::shared_ptr<event_mailbox>& listener, wire::message content) {
    ++m_sent_since_report;
    asio::dispatch(m_strand,
                   [self = shared_from_this(), dispatch, listener, held = std::move(content)]() mutable {
                       self->m_listeners[dispatch] = listener;
                       self->send_or_connect(std::move(held));
                   });
}

void sidecar_link::send(wire::message content) {
    asio::dispatch(m_strand, [self = shared_from_this(), held = std::move(content)]() mutable {
        self->send_or_connect(std::move(held));
    });
}

void sidecar_link::send_or_connect(wire::message content) {
    m_last_message_time = steady_clock::now();
    if (m_is_open) {
        m_connection->send(std::move(content));
        return;
    }
    m_unsent_messages.push_back(std::move(content));
    connect();
}

void sidecar_link::send_if_connected(wire::message content) {
    asio::dispatch(m_strand, [self = shared_from_this(), held = std::move(content)]() mutable {
        if (self->m_is_open) {
            self->m_connection->send(std::move(held));
        }
    });
}

void sidecar_link::remove_listener(const dispatch_id& dispatch) {
    asio::dispatch(m_strand, [self = shared_from_this(), dispatch] { self->m_listeners.erase(dispatch); });
}

void sidecar_link::close(const std::string& reason) {
    asio::dispatch(m_strand, [self = shared_from_this(), reason] {
        if (self->m_connection != nullptr) {
            self->m_connection->close(reason);
        }
    });
}

void sidecar_link::connect() {
    if (m_is_connecting || m_connection != nullptr) {
        return;
    }
    m_is_connecting = true;
    const auto socket = std::make_shared<tcp::socket>(m_strand);
    m_connect_timer = m_context.timers.after(m_strand, m_context.connect_limit, [socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
    socket->async_connect(m_vm.address,
                          asio::bind_executor(m_strand, [self = shared_from_this(),
                                                         socket](const boost::system::error_code& error) {
                              self->m_is_connecting = false;
                              self->m_connect_timer.cancel();
                              if (error) {
                                  self->on_closed("connect: " + error.message());
                                  return;
                              }
                              self->start_connection(std::move(*socket));
                          }));
}

void sidecar_link::start_connection(tcp::socket socket) {
    wire::peer_connection::callbacks callbacks;
    // The callbacks hold the link by a weak pointer, so that the connection doesn't keep a link alive that
    // server_directory has removed.
    const auto make_callback = [weak = weak_from_this()](auto action) {
        return [weak, action](auto&&... arguments) {
            if (const auto self = weak.lock()) {
                action(*self, std::forward<decltype(arguments)>(arguments)...);
            }
        };
    };
    callbacks.opened =
        make_callback([](sidecar_link& self, const wire::hello_message& hello) { self.on_opened(hello); });
    callbacks.received = make_callback(
        [](sidecar_link& self, wire::envelope received) { self.handle_message(std::move(received)); });
    callbacks.closed =
        make_callback([](sidecar_link& self, const std::string& reason) { self.on_closed(reason); });
    callbacks.load_received = make_callback(
        [](sidecar_link& self, const wire::load_report_message& load) { self.record_load(load); });
    callbacks.has_work = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self != nullptr && !self->m_listeners.empty();
    };
    auto hello = m_context.own_hello;
    hello.revision = m_context.revision();
    m_connection = std::make_shared<wire::peer_connection>(std::move(socket), m_strand, m_context.timers,
                                                           m_context.heartbeat, std::move(hello),
                                                           m_context.revision, std::move(callbacks));
    m_connection->start();
}

void sidecar_link::on_opened(const wire::hello_message& hello) {
    {
        const std::scoped_lock lock(m_report_mutex);
        m_incarnation = wire::from_wire(hello.incarnation);
    }
    m_is_shutting_down.store(hello.leaving);
    m_peer_revision.store(hello.revision);
    m_connect_failure_time.store(0);
    m_is_open = true;
    m_is_connected.store(true);
    for (auto& content : std::exchange(m_unsent_messages, {})) {
        m_connection->send(std::move(content));
    }
    m_idle_timer = m_context.timers.every(m_strand, m_context.idle_limit / 2, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->close_if_idle();
        }
    });
}

void sidecar_link::close_if_idle() {
    if (m_connection != nullptr && m_listeners.empty() &&
        steady_clock::now() - m_last_message_time > m_context.idle_limit) {
        m_connection->close("idle");
    }
}

void sidecar_link::on_closed(const std::string& reason) {
    const bool was_open = std::exchange(m_is_open, false);
    m_connection.reset();
    m_is_connected.store(false);
    m_is_shutting_down.store(false);
    m_idle_timer.cancel();
    m_unsent_messages.clear();
    if (!was_open) {
        m_connect_failure_time.store(steady_clock::now().time_since_epoch().count());
    }
    if (reason != "idle") {
        log::info("sidecar_connection_ended",
                  {{"vm", m_vm.name}, {"backend_server", m_vm.backend_server}, {"why", reason}});
    }
    for (const auto& [dispatch, listener] : std::exchange(m_listeners, {})) {
        listener->push(connection_lost{dispatch});
    }
}

void sidecar_link::notify_listener(const dispatch_id& dispatch, dispatch_event event) {
    m_last_message_time = steady_clock::now();
    const auto found = m_listeners.find(dispatch);
    if (found != m_listeners.end()) {
        found->second->push(std::move(event));
    }
}

void sidecar_link::handle_message(wire::envelope received) {
    m_peer_revision.store(received.revision);
    std::visit(
        [this](auto& content) {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, wire::offer_reply_message>) {
                if (content.load != nullptr) {
                    record_load(*content.load);
                }
            }
            if constexpr (std::is_same_v<content_type, wire::leaving_message>) {
                m_is_shutting_down.store(true);
            }
            if constexpr (is_dispatch_event<content_type>) {
                const auto dispatch = wire::from_wire(content.dispatch);
                notify_listener(dispatch, std::move(content));
            }
        },
        received.content);
    if (m_connection != nullptr) {
        m_context.received(m_vm.backend_server, received, *m_connection);
    }
}

void sidecar_link::record_load(const wire::load_report_message& report) {
    m_sent_since_report.store(0);
    const std::scoped_lock lock(m_report_mutex);
    m_load = server_load{steady_clock::now(),
                         report.queued_requests,
                         report.queued_tokens,
                         report.running_sequences,
                         report.prefill_tokens_in_progress,
                         report.sequence_limit,
                         report.prefill_tokens_per_second,
                         report.output_tokens_per_second,
                         report.expected_wait_ms,
                         report.tier_wait_ms};
}

identifier sidecar_link::incarnation() const {
    const std::scoped_lock lock(m_report_mutex);
    return m_incarnation;
}

std::optional<server_load> sidecar_link::load() const {
    const std::scoped_lock lock(m_report_mutex);
    return m_load;
}

bool sidecar_link::is_unreachable() const noexcept {
    const auto failed_at = m_connect_failure_time.load();
    return failed_at != 0 &&
           steady_clock::now() - steady_clock::time_point(steady_clock::duration(failed_at)) <
               unreachable_duration;
}

} // namespace borageford::entry
