// Implements how the request exchange requests slots, and uses, returns and releases them.
#include "base/hash.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/request_exchange.hpp"

#include <string>
#include <utility>

namespace borageford::gateway {

namespace {

/// How long a granted slot is held for a server whose registration is unknown here. This covers several times
/// the next message of a gateway that has the registration and the exchange that fetches it.
constexpr milliseconds registration_timeout{250};
/// Slots that a request returns without an attempt. More of them mean that the process that grants doesn't
/// learn that the server is out of use.
constexpr unsigned max_returned_slots = 16;

} // namespace

policy::slot_request request_exchange::make_slot_request() const {
    policy::slot_request wanted;
    wanted.ticket = m_context.slots.next_ticket();
    wanted.service = hash_bytes(m_admitted.service->name);
    wanted.workspace = m_admitted.workspace != nullptr ? hash_bytes(m_admitted.workspace->name) : 0;
    wanted.tier = m_admitted.tier;
    // For the caller of a stream that broke off, the wait for the next event begins then. Counted from the
    // request's arrival, the longest wait is over, so that every stream older than that would be refused a
    // slot and aborted.
    wanted.arrived = m_has_begun_stream ? m_broke_off : m_admitted.arrived;
    wanted.deadline = m_admitted.deadline;
    wanted.target = m_admitted.route->latency_target;
    wanted.cost = m_admitted.cost;
    wanted.fingerprint = m_admitted.fingerprint;
    wanted.units = m_admitted.units;
    wanted.is_charged = m_is_charged;
    wanted.sends = m_attempts.delivered_attempts();
    wanted.is_counted = m_has_asked;
    wanted.may_repeat = m_attempts.may_repeat_next();
    wanted.software = m_software.required();
    wanted.probed_part = m_quarantine.probed_part();
    wanted.avoided = m_attempts.avoided();
    return wanted;
}

void request_exchange::refuse_quarantined(milliseconds left, policy::suspect_kind kind) {
    end_without_answer(error_kind::held_back, describe_quarantine(kind), left);
}

void request_exchange::request_slot() {
    if (const auto found = m_quarantine.begin_slot_request(m_admitted)) {
        refuse_quarantined(found->left, found->kind);
        return;
    }
    const auto wanted = make_slot_request();
    m_ticket = wanted.ticket;
    m_has_asked = true;
    m_server_id.clear();
    m_is_waiting_for_slot = true;
    const auto self = shared_from_this();
    m_context.slots.request(wanted, {[self](const policy::slot_grant& grant) { self->handle_grant(grant); },
                                     [self](const policy::slot_refusal& refusal) {
                                         self->handle_refusal(refusal);
                                     }});
}

void request_exchange::handle_grant(const policy::slot_grant& grant) {
    m_is_waiting_for_slot = false;
    m_slot = grant.server;
    m_slot_begin = clock::now();
    if (m_attempts.attempt_count() == 0) {
        m_waited = m_slot_begin - m_admitted.arrived;
    }
    m_first_event = {};
    m_has_proved_harmless = false;
    m_events_before = m_events.count();
    m_is_charged = true;
    const auto& backends = m_context.backends;
    if (backends.find(grant.server) == nullptr && !backends.was_known(grant.server)) {
        wait_for_registration(grant);
    } else {
        use_slot(grant);
    }
}

/// Waits for the registration of a server that the coordinator has already read and this process has not, for
/// instance of one that has just restarted. The registration is on its way here. Giving the slot back at once
/// would let the coordinator grant it again immediately, until the request has used up all its attempts
/// without being sent anywhere.
void request_exchange::wait_for_registration(const policy::slot_grant& grant) {
    const std::weak_ptr<request_exchange> weak = weak_from_this();
    const auto proceed = [weak, grant] {
        const auto self = weak.lock();
        if (self != nullptr && self->is_waiting_to_use(grant)) {
            self->m_registration_timer.cancel();
            self->use_slot(grant);
        }
    };
    m_context.on_unknown_server();
    m_context.backends.when_known(grant.server, weak, proceed);
    m_registration_timer = m_context.timers.after(m_context.executor, registration_timeout, proceed);
}

bool request_exchange::is_waiting_to_use(const policy::slot_grant& grant) const {
    return m_slot == grant.server && m_ticket == grant.ticket && m_call == nullptr;
}

void request_exchange::use_slot(const policy::slot_grant& grant) {
    auto server = m_context.backends.find(grant.server);
    m_server_id = server != nullptr ? server->record().id : "unknown";
    const auto software = server != nullptr ? server->record().version : std::string();
    m_journal.placed(m_admitted, grant, {m_server_id, software}, m_attempts.attempt_count());
    if (server == nullptr) {
        fail_attempt(policy::attempt_outcome::unreachable, policy::slot_outcome::refused,
                     "the server isn't registered here");
    } else if (m_context.slots.has_departed(grant.server)) {
        return_slot("the server leaves");
    } else if (server->backoff_end().has_value()) {
        return_slot("the server asked for a pause");
    } else if (server->record().state != routing::backend_state::ready) {
        // The coordinator may not have read that the server is draining, for instance while the store refuses
        // the coordinator's requests.
        fail_attempt(policy::attempt_outcome::unreachable, policy::slot_outcome::refused,
                     "the server is draining");
    } else if (m_quarantine.holds(m_admitted)) {
        return_slot("the request was quarantined");
    } else if (m_software.required() != 0 && policy::software_key_of(software) != m_software.required()) {
        return_slot("its software version isn't the one that began the stream");
    } else {
        send_to(std::move(server));
    }
}

/// Returns the slot of a server that may get no more requests, and requests another slot. The request wasn't
/// sent, so this is no attempt.
void request_exchange::return_slot(std::string_view reason) {
    if (++m_returned_slots > max_returned_slots) {
        fail_attempt(policy::attempt_outcome::unreachable, policy::slot_outcome::refused, reason);
        return;
    }
    const auto busy = clock::now() - m_slot_begin;
    const auto server = m_context.backends.find(m_slot);
    const auto backoff_end = server != nullptr ? server->backoff_end() : std::nullopt;
    if (backoff_end.has_value()) {
        // The process that grants slots may not have known the server when it was told.
        m_context.slots.observe_backoff(m_slot, *backoff_end);
    }
    m_is_charged = false; // releasing the slot refunds the quota
    m_attempts.avoid(m_slot);
    release_slot(policy::slot_outcome::refused);
    m_call.reset();
    m_journal.attempt_failed(m_admitted, m_server_id,
                             {policy::slot_outcome::refused, std::string(reason), busy}, m_attempts, true);
    request_slot();
}

void request_exchange::handle_refusal(const policy::slot_refusal& refusal) {
    m_is_waiting_for_slot = false;
    const auto wait = std::chrono::duration_cast<milliseconds>(refusal.retry_after);
    switch (refusal.reason) {
    case policy::refusal_reason::over_allowance:
        end_without_answer(error_kind::rate_limited, "over the workspace's allowance", wait);
        return;
    case policy::refusal_reason::held_back:
        refuse_quarantined(wait, m_quarantine.refused_kind());
        return;
    case policy::refusal_reason::software_gone:
        end_without_answer(error_kind::no_backend_server, to_string(refusal.reason), wait);
        return;
    case policy::refusal_reason::no_slot_in_time:
        end_without_answer(error_kind::deadline_unreachable, to_string(refusal.reason), wait);
        return;
    case policy::refusal_reason::over_retry_budget:
    case policy::refusal_reason::over_server_limit:
    case policy::refusal_reason::servers_back_off:
    case policy::refusal_reason::over_memory:
    case policy::refusal_reason::overloaded:
    case policy::refusal_reason::return_promised:
        break;
    }
    end_without_answer(error_kind::overloaded, to_string(refusal.reason), wait);
}

void request_exchange::release_slot(policy::slot_outcome outcome) {
    if (m_is_waiting_for_slot) {
        m_context.slots.withdraw(m_ticket);
        m_is_waiting_for_slot = false;
    }
    if (m_slot != 0) {
        m_context.slots.release({m_ticket, std::exchange(m_slot, 0), outcome, clock::now() - m_slot_begin,
                                 m_first_event, count_output()});
    }
}

/// Returns the number of output tokens received from the current server.
double request_exchange::count_output() const {
    const auto& engine = m_admitted.service->engine;
    const auto events = static_cast<double>(m_events.count() - m_events_before);
    return events * (engine.has_value() ? engine->tokens_per_event : 1);
}

} // namespace borageford::gateway
