// Implementation of sidecar_core: messages, the periodic tick and the graceful stop.
#include "sidecar/sidecar_core.hpp"

#include "base/log.hpp"
#include "configuration/revision_rows.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <type_traits>
#include <utility>

namespace borageford::sidecar {

using std::chrono::steady_clock;

namespace {

/// Expired grants and missed deadlines are noticed at most this late.
constexpr std::chrono::milliseconds tick_period{20};
/// If nothing has run on the strand for this time, the process was frozen and not just busy.
constexpr std::chrono::milliseconds freeze_threshold{1000};
/// Delay between attempts to read the configuration's head row after a freeze.
constexpr std::chrono::milliseconds verification_pause{100};
/// Time after which the configuration is requested from a peer again if no newer revision was received.
constexpr std::chrono::milliseconds request_interval{500};

} // namespace

sidecar_core::sidecar_core(sidecar_context& context, backend::backend_server& server,
                           const identifier& own_incarnation)
    : m_context(context),
      m_dispatches(context, server, own_incarnation,
                   {.capacity_freed = [this] { m_offers.grant_waiting(); },
                    .retry_after =
                        [this](unsigned tier) {
                            return m_offers.retry_after(tier);
                        }}),
      m_offers(context, m_dispatches),
      m_orders(context, server, own_incarnation, [this] { m_offers.recheck_offers(); }),
      m_cache(context, server) {}

void sidecar_core::start() {
    m_orders.start();
    m_tick = m_context.timers.every(m_context.strand, tick_period, [this] { tick(); });
}

void sidecar_core::receive(connection_id connection, wire::envelope received) {
    detect_freeze();
    request_newer_revision(connection, received.revision);
    handle(connection, std::move(received.content));
}

void sidecar_core::handle(connection_id connection, wire::message content) {
    std::visit(
        [this, connection](auto& message) {
            using type = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<type, wire::offer_message>) {
                m_offers.handle_offer(connection, message);
            } else if constexpr (std::is_same_v<type, wire::start_message>) {
                m_offers.start(connection, std::move(message));
            } else if constexpr (std::is_same_v<type, wire::withdraw_message>) {
                m_offers.withdraw(message);
            } else if constexpr (std::is_same_v<type, wire::attach_message>) {
                m_offers.withdraw_attached(wire::from_wire(message.dispatch));
                m_dispatches.attach(connection, message);
            } else if constexpr (std::is_same_v<type, wire::acknowledge_message>) {
                m_dispatches.acknowledge(message);
            } else if constexpr (std::is_same_v<type, wire::abandon_message>) {
                m_dispatches.abandon(connection, message);
            } else if constexpr (std::is_same_v<type, wire::configuration_request_message>) {
                send_configuration(connection);
            } else if constexpr (std::is_same_v<type, wire::configuration_reply_message>) {
                m_context.configuration.apply_from_peer(message.revision, message.deflated_text);
                finish_verification(m_verification);
            } else if constexpr (std::is_same_v<type, wire::crash_mark_message>) {
                m_context.marks.add_received(message.fingerprint,
                                             {wire::from_wire(message.mark), message.backend_server, 0});
                m_offers.recheck_offers();
            }
            // All other messages are heartbeats, or messages that only a sidecar sends.
        },
        content);
}

/// Requests the configuration from a peer that has a newer revision. This way a revision reaches all
/// processes also while the platform is unavailable.
void sidecar_core::request_newer_revision(connection_id connection, std::uint64_t peer_revision) {
    const auto own = m_context.configuration.revision();
    const auto now = steady_clock::now();
    // Every frame of a peer contains its revision, and every reply contains the complete configuration. So a
    // revision is requested only once in `request_interval`, not for each frame.
    if (peer_revision <= own ||
        (peer_revision <= m_requested_revision && now - m_requested_at < request_interval)) {
        return;
    }
    m_requested_revision = peer_revision;
    m_requested_at = now;
    wire::configuration_request_message request;
    request.known_revision = own;
    m_context.peers.send(connection, request);
}

void sidecar_core::send_configuration(connection_id connection) {
    const auto current = m_context.configuration.current();
    wire::configuration_reply_message reply;
    reply.revision = current->revision;
    reply.deflated_text = current->deflated_text;
    m_context.peers.send(connection, std::move(reply));
}

void sidecar_core::drop_connection(connection_id connection) {
    m_offers.drop_connection(connection);
    m_dispatches.drop_connection(connection);
}

void sidecar_core::apply_configuration() {
    const auto current = m_context.configuration.current();
    if (const auto* server = current->find_backend_server(m_context.settings.backend_server)) {
        m_context.limit.set_slots(server->slots);
        m_dispatches.on_backend_known();
        m_cache.start();
    }
    m_offers.recheck_offers();
    m_orders.compare_soon();
}

void sidecar_core::backend_came_up() {
    m_orders.compare_soon();
    m_offers.grant_waiting();
}

void sidecar_core::backend_went_down() {
    m_cache.reset();
    m_context.models.forget();
    m_dispatches.choose_suspects();
    m_offers.recheck_offers();
}

/// Detects that the process was frozen, and then stops grants and starts until its configuration revision is
/// verified. During the freeze a newer revision may have taken the backend server out of use. A start message
/// that had waited in the socket would then run under a revision that is no longer in force. Called before
/// each message is handled and on each tick.
void sidecar_core::detect_freeze() {
    const auto now = steady_clock::now();
    const auto elapsed = now - m_last_seen;
    m_last_seen = now;
    if (elapsed < freeze_threshold) {
        return;
    }
    const auto frozen_for = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    log::warning("frozen", {{"milliseconds", std::to_string(frozen_for.count())}});
    m_offers.set_paused(true);
    ++m_verification;
    wire::configuration_request_message request;
    request.known_revision = m_context.configuration.revision();
    m_context.peers.send_to_all(request);
    boost::asio::co_spawn(m_context.strand, verify_revision(m_verification), boost::asio::detached);
}

/// Reads the configuration's head row until this succeeds and no newer revision exists. A peer's reply ends
/// the verification as well, so that a sidecar can work again after a freeze while the platform is
/// unavailable.
boost::asio::awaitable<void> sidecar_core::verify_revision(std::uint64_t verification) {
    boost::asio::steady_timer pause(m_context.strand);
    while (m_verification == verification && m_verified != verification) {
        try {
            const auto head = co_await m_context.table.read(configuration::head_key);
            const auto head_revision = head ? configuration::decode_head(head->value).revision : 0;
            if (head_revision <= m_context.configuration.revision()) {
                finish_verification(verification);
                co_return;
            }
            m_context.configuration.poll_soon();
        } catch (const std::exception&) {
            // The platform is unavailable. The read is retried after the pause.
        }
        pause.expires_after(verification_pause);
        boost::system::error_code ignored;
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void sidecar_core::finish_verification(std::uint64_t verification) {
    if (m_verification == verification) {
        m_verified = verification;
        m_offers.set_paused(false);
    }
}

void sidecar_core::tick() {
    detect_freeze();
    const auto now = steady_clock::now();
    m_offers.tick();
    m_context.store.forget_old(now);
    m_context.ledger.forget_old(now);
    m_context.costs.record_output_tokens(0, m_context.limit.running() > 0, now);
    finish_shutdown();
}

void sidecar_core::shut_down(std::function<void()> done) {
    m_is_shutting_down = true;
    m_shutdown_done = std::move(done);
    wire::leaving_message leaving;
    leaving.reason = "stop requested";
    m_context.peers.send_to_all(leaving);
    m_offers.drain();
}

void sidecar_core::finish_shutdown() {
    if (!m_shutdown_done || m_context.store.running_count() > 0) {
        return;
    }
    if (m_context.store.has_undelivered(m_context.settings.resend_grace, steady_clock::now())) {
        return;
    }
    std::exchange(m_shutdown_done, {})();
}

std::unique_ptr<wire::load_report_message> sidecar_core::make_load_report() const {
    return m_offers.make_load_report();
}

} // namespace borageford::sidecar
