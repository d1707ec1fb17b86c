// Messages, ticks and leaving.
#include "sidecar/sidecar_core.hpp"

#include "base/log.hpp"

#include <type_traits>
#include <utility>

namespace borageford::sidecar {

using std::chrono::steady_clock;

namespace {

/// Grants lapse and deadlines are noticed this late at most.
constexpr std::chrono::milliseconds tick_period{20};

} // namespace

sidecar_core::sidecar_core(sidecar_context& context, backend::backend_server& server,
                           const identifier& own_incarnation)
    : m_context(context),
      m_dispatches(context, server, own_incarnation, [this] { m_offers.grant_room(); }),
      m_offers(context, m_dispatches) {}

void sidecar_core::start() {
    m_tick = m_context.timers.every(m_context.strand, tick_period, [this] { tick(); });
}

void sidecar_core::receive(connection_id connection, wire::envelope received) {
    follow_revision(connection, received.revision);
    handle(connection, std::move(received.content));
}

void sidecar_core::handle(connection_id connection, wire::message content) {
    std::visit(
        [this, connection](auto&& message) {
            using type = std::decay_t<decltype(message)>;
            if constexpr (std::is_same_v<type, wire::offer_message>) {
                m_offers.take(connection, message);
            } else if constexpr (std::is_same_v<type, wire::start_message>) {
                m_offers.start(connection, std::move(message));
            } else if constexpr (std::is_same_v<type, wire::withdraw_message>) {
                m_offers.withdraw(message);
            } else if constexpr (std::is_same_v<type, wire::attach_message>) {
                m_offers.give_up(wire::from_wire(message.dispatch));
                m_dispatches.attach(connection, message);
            } else if constexpr (std::is_same_v<type, wire::acknowledge_message>) {
                m_dispatches.acknowledge(message);
            } else if constexpr (std::is_same_v<type, wire::abandon_message>) {
                m_dispatches.abandon(connection, message);
            } else if constexpr (std::is_same_v<type, wire::configuration_request_message>) {
                send_configuration(connection);
            } else if constexpr (std::is_same_v<type, wire::configuration_reply_message>) {
                m_context.configuration.take_from_peer(message.revision, message.text);
            } else if constexpr (std::is_same_v<type, wire::crash_mark_message>) {
                m_context.marks.take(message.fingerprint,
                                     {wire::from_wire(message.mark), message.backend_server, 0});
                m_offers.review();
            }
            // All else is a heartbeat, or something that only a sidecar says.
        },
        std::move(content));
}

/// Whoever is behind asks the one that is ahead, so a revision spreads while the platform is out.
void sidecar_core::follow_revision(connection_id connection, std::uint64_t peer_revision) {
    const auto own = m_context.configuration.revision();
    if (peer_revision <= own) {
        return;
    }
    wire::configuration_request_message request;
    request.known_revision = own;
    m_context.peers.send(connection, request);
}

void sidecar_core::send_configuration(connection_id connection) {
    const auto current = m_context.configuration.current();
    wire::configuration_reply_message reply;
    reply.revision = current->revision;
    reply.text = current->text;
    m_context.peers.send(connection, std::move(reply));
}

void sidecar_core::drop_connection(connection_id connection) {
    m_offers.drop_connection(connection);
    m_dispatches.drop_connection(connection);
}

void sidecar_core::follow_configuration() {
    const auto current = m_context.configuration.current();
    if (const auto* server = current->find_backend_server(m_context.settings.backend_server)) {
        m_context.limit.set_slots(server->slots);
    }
    m_offers.review();
}

void sidecar_core::backend_came_up() {
    m_offers.grant_room();
}

void sidecar_core::backend_went_down() {
    m_context.prefixes.clear();
    m_dispatches.choose_suspects();
    m_offers.review();
}

void sidecar_core::tick() {
    const auto now = steady_clock::now();
    m_offers.tick();
    m_context.store.forget_old(now);
    m_context.ledger.forget_old(now);
    m_context.costs.record_output_tokens(0, m_context.limit.running() > 0, now);
    finish_leaving();
}

void sidecar_core::leave(std::function<void()> done) {
    m_is_leaving = true;
    m_left = std::move(done);
    wire::leaving_message leaving;
    leaving.reason = "stop requested";
    m_context.peers.send_to_all(leaving);
    m_offers.drain();
}

void sidecar_core::finish_leaving() {
    if (!m_left || m_context.store.running_count() > 0 || m_context.store.kept_count() > 0) {
        return;
    }
    std::exchange(m_left, {})();
}

std::unique_ptr<wire::load_report_message> sidecar_core::make_load_report() const {
    return m_offers.make_load_report();
}

} // namespace borageford::sidecar
