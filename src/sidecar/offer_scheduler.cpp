// Implementation of offer_scheduler: offers, grants and starts, following docs/design/dispatch.md.
#include "sidecar/offer_scheduler.hpp"

#include "sidecar/grant_time.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::sidecar {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// The number of crash marks, and so of dead backend servers, at which a request is refused as quarantined.
constexpr std::size_t quarantine_marks = 2;

std::uint32_t to_wire_milliseconds(milliseconds time) {
    constexpr std::int64_t max_milliseconds = UINT32_MAX;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, max_milliseconds));
}

} // namespace

offer_scheduler::offer_scheduler(sidecar_context& context, dispatch_manager& dispatches)
    : m_context(context),
      m_dispatches(dispatches),
      m_resends(context.store),
      m_queue({.requests = context.settings.queue_requests, .tokens = context.settings.queue_tokens}) {}

void offer_scheduler::handle_offer(connection_id connection, const wire::offer_message& offer) {
    m_context.metrics.offered();
    auto request = read_offer(offer);
    if (auto found = m_resends.find(offer, request.received)) {
        reply(connection, request, std::move(*found));
        return;
    }
    if (offer.lookup_only) {
        m_resends.remember_lookup(connection, offer);
        wire::offer_reply_message answer;
        answer.verdict = wire::offer_verdict::not_known;
        reply(connection, request, std::move(answer));
        return;
    }
    if (const auto obstacle = find_obstacle(request)) {
        refuse(connection, request, *obstacle);
        return;
    }
    auto queued = to_queued(request);
    if (misses_deadline(queued)) {
        refuse(connection, request, error_kind::deadline_unreachable);
        return;
    }
    const auto id = request.dispatch;
    switch (m_context.ledger.record_offer(id)) {
    case ledger::offer_result::already_known:
        return;
    case ledger::offer_result::tombstoned:
        send_not_begun(connection, offer.dispatch, error_kind::overloaded, retry_after(request.tier));
        return;
    case ledger::offer_result::taken:
        break;
    }
    const auto verdict = m_queue.put(queued, steady_clock::now());
    if (!verdict.is_queued) {
        m_context.ledger.withdraw(id, steady_clock::now());
        refuse(connection, request, error_kind::overloaded);
        return;
    }
    m_context.record(audit::event::queued, request);
    wire::offer_reply_message answer;
    answer.verdict = wire::offer_verdict::queued;
    reply(connection, request, std::move(answer));
    m_offers.emplace(id, pending_offer{std::move(request), connection, std::move(queued), std::nullopt, 0});
    for (const auto& displaced : verdict.displaced) {
        m_context.record(audit::event::pushed_out, m_offers.at(displaced.dispatch).request);
        end_offer(displaced.dispatch, error_kind::overloaded);
    }
    grant_waiting();
}

std::optional<error_kind> offer_scheduler::find_obstacle(const offered_request& request) const {
    if (m_is_draining) {
        return error_kind::draining;
    }
    const auto current = m_context.configuration.current();
    if (current->is_empty()) {
        return error_kind::no_configuration;
    }
    const auto* server = current->find_backend_server(m_context.settings.backend_server);
    if (server == nullptr ||
        !configuration::configuration::serves(*server, request.target, request.is_service)) {
        return error_kind::no_backend_server;
    }
    if (server->drained) {
        return error_kind::draining;
    }
    if (!m_context.monitor.is_up() || (!request.is_service && !m_context.models.has(request.target))) {
        return error_kind::no_backend_server;
    }
    if (m_context.marks.count(request.fingerprint) >= quarantine_marks) {
        return error_kind::quarantined;
    }
    return std::nullopt;
}

offered_request offer_scheduler::read_offer(const wire::offer_message& offer) const {
    offered_request request;
    request.dispatch = wire::from_wire(offer.dispatch);
    request.request = wire::from_wire(offer.request);
    request.workspace = offer.workspace;
    request.target = offer.target;
    request.tier = offer.tier;
    request.is_service = offer.is_service;
    request.is_idempotent = offer.idempotent;
    request.prompt_tokens = offer.prompt_tokens;
    const auto cached = m_context.prefixes.cached_tokens(offer.prefix_hashes);
    request.prefill_tokens = offer.prompt_tokens - std::min(cached, offer.prompt_tokens);
    request.expected_output_tokens =
        m_context.costs.expected_output(offer.workspace, offer.target, offer.expected_output_tokens);
    request.fingerprint = offer.fingerprint;
    request.resend_key = offer.resend_key;
    request.prefix_hashes = offer.prefix_hashes;
    request.received = steady_clock::now();
    request.first_token_target = request.received + milliseconds(offer.target_ms);
    if (offer.deadline_ms > 0) {
        request.deadline = request.received + milliseconds(offer.deadline_ms);
    }
    return request;
}

policy::queued_offer offer_scheduler::to_queued(const offered_request& request) const {
    policy::queued_offer queued;
    queued.dispatch = request.dispatch;
    queued.workspace = request.workspace;
    queued.tier = request.tier;
    queued.tokens = std::max<std::uint64_t>(1, request.prefill_tokens + request.expected_output_tokens);
    queued.prompt_tokens = request.prompt_tokens;
    queued.queued_at = request.received;
    queued.target_start = request.first_token_target - expected_service(request);
    if (request.deadline) {
        queued.latest_start = *request.deadline - expected_service(request);
    }
    return queued;
}

/// The expected time of the request's prefill by the measured rate; zero if no rate was measured yet.
duration offer_scheduler::expected_service(const offered_request& request) const {
    double seconds = 0;
    if (m_context.costs.prefill_rate() > 0) {
        seconds += request.prefill_tokens / m_context.costs.prefill_rate();
    }
    return policy::from_seconds(seconds);
}

bool offer_scheduler::misses_deadline(const policy::queued_offer& queued) const {
    if (!queued.latest_start) {
        return false;
    }
    const auto wait = m_queue.expected_wait(queued.tier).value_or(duration::zero());
    return steady_clock::now() + wait > *queued.latest_start;
}

milliseconds offer_scheduler::retry_after(unsigned tier) const {
    const auto now = steady_clock::now();
    if (!m_context.monitor.is_up()) {
        return m_context.monitor.retry_after(now);
    }
    const auto unmeasured = m_queue.expected_wait(tier).value_or(duration::zero());
    return policy::retry_after(m_queue.tokens(), m_queue.drain_rate(), unmeasured);
}

void offer_scheduler::refuse(connection_id connection, const offered_request& request, error_kind kind) {
    m_context.metrics.refused(kind, request.tier);
    m_context.record(audit::event::refused, request, kind);
    wire::offer_reply_message answer;
    answer.verdict = wire::offer_verdict::refused;
    answer.error_kind = wire::to_wire(kind);
    answer.retry_after_ms = to_wire_milliseconds(retry_after(request.tier));
    reply(connection, request, std::move(answer));
}

void offer_scheduler::reply(connection_id connection, const offered_request& request,
                            wire::offer_reply_message answer) {
    answer.dispatch = wire::to_wire(request.dispatch);
    answer.marks = static_cast<std::uint32_t>(m_context.marks.count(request.fingerprint));
    answer.load = make_load_report();
    const auto cached_blocks =
        (request.prompt_tokens - request.prefill_tokens) / cached_block_index::tokens_per_block;
    if (cached_blocks > 0 && cached_blocks <= request.prefix_hashes.size()) {
        answer.load->cached_prefixes.push_back(request.prefix_hashes[cached_blocks - 1]);
    }
    m_context.peers.send(connection, std::move(answer));
}

void offer_scheduler::grant_waiting() {
    while (!m_is_paused && m_context.monitor.is_up() && !m_context.store.is_full()) {
        const auto now = steady_clock::now();
        const auto* next = m_queue.next(now);
        if (next == nullptr) {
            return;
        }
        const auto& request = m_offers.at(next->dispatch).request;
        if (!has_capacity_for(request) || must_wait_for_marked(request)) {
            return;
        }
        grant_next(now);
    }
}

/// Whether the backend server has capacity for the request. A plain service produces no tokens from which a
/// limit could be measured, so its limit is the configured number of slots.
bool offer_scheduler::has_capacity_for(const offered_request& request) const {
    if (!request.is_service) {
        return m_context.limit.has_room(request.prefill_tokens);
    }
    const auto current = m_context.configuration.current();
    const auto* server = current->find_backend_server(m_context.settings.backend_server);
    return server != nullptr && m_context.limit.running() < server->slots;
}

/// Whether the request has a crash mark and another request with a crash mark is granted or running. At most
/// one such request runs at a time: if the backend server died while two of them were running, it would be
/// unknown which of them caused it, and a harmless request could be quarantined.
bool offer_scheduler::must_wait_for_marked(const offered_request& request) const {
    if (m_context.marks.count(request.fingerprint) == 0) {
        return false;
    }
    const auto is_granted_marked = [this](const auto& held) {
        return held.second.admission && m_context.marks.count(held.second.request.fingerprint) > 0;
    };
    return m_dispatches.is_running_marked() || std::ranges::any_of(m_offers, is_granted_marked);
}

void offer_scheduler::grant_next(time_point now) {
    const auto queued = m_queue.take_next(now);
    auto& offer = m_offers.at(queued->dispatch);
    const auto lease = m_context.settings.grant_lease;
    m_context.ledger.grant(queued->dispatch, now + lease);
    offer.admission = m_context.limit.admit(offer.request.prefill_tokens);
    offer.granted_revision = m_context.configuration.revision();
    m_context.metrics.granted();
    m_context.record(audit::event::granted, offer.request);
    wire::grant_message grant;
    grant.dispatch = wire::to_wire(queued->dispatch);
    grant.revision = offer.granted_revision;
    grant.lease_ms = to_wire_milliseconds(lease);
    grant.granted_at_ms = to_grant_time(now);
    m_context.peers.send(offer.connection, std::move(grant));
}

void offer_scheduler::start(connection_id connection, wire::start_message request) {
    const auto id = wire::from_wire(request.dispatch);
    const auto found = m_offers.find(id);
    if (found != m_offers.end() && found->second.admission) {
        const auto revision = m_context.configuration.revision();
        if (m_is_paused || request.revision != revision) {
            end_offer(id, error_kind::stale_revision);
            return;
        }
    }
    switch (m_context.ledger.start(id, steady_clock::now())) {
    case ledger::start_result::already_started:
        return;
    case ledger::start_result::not_begun:
        if (found != m_offers.end()) {
            m_queue.remove(id, steady_clock::now());
            release_capacity(found->second);
            m_offers.erase(found);
        }
        send_not_begun(connection, request.dispatch, error_kind::overloaded, milliseconds(0));
        grant_waiting();
        return;
    case ledger::start_result::begun:
        break;
    }
    auto& offer = found->second;
    const auto dispatch = std::make_shared<dispatch_record>();
    dispatch->request = std::move(offer.request);
    dispatch->admission = *offer.admission;
    dispatch->call = {std::move(request.method), std::move(request.path), std::move(request.content_type),
                      std::string(request.body.begin(), request.body.end()), request.streamed};
    m_offers.erase(found);
    m_dispatches.begin(dispatch, connection);
}

void offer_scheduler::withdraw(const wire::withdraw_message& request) {
    const auto id = wire::from_wire(request.dispatch);
    const auto now = steady_clock::now();
    if (m_resends.end_lookup(request, now)) {
        return;
    }
    if (m_context.ledger.withdraw(id, now) == ledger::withdraw_result::already_started) {
        return;
    }
    const auto found = m_offers.find(id);
    if (found == m_offers.end()) {
        return;
    }
    m_context.metrics.withdrawn();
    m_context.record(audit::event::withdrawn, found->second.request);
    const auto& offered = found->second.request;
    m_resends.record_start(request, offered.resend_key, offered.fingerprint, now);
    m_queue.remove(id, now);
    release_capacity(found->second);
    m_offers.erase(found);
    grant_waiting();
}

void offer_scheduler::withdraw_attached(dispatch_id dispatch) {
    if (!m_offers.contains(dispatch)) {
        return;
    }
    wire::withdraw_message withdrawal;
    withdrawal.dispatch = wire::to_wire(dispatch);
    withdraw(withdrawal);
}

void offer_scheduler::drop_connection(connection_id connection) {
    m_resends.drop_connection(connection);
    std::vector<dispatch_id> closed_offers;
    for (const auto& [id, offer] : m_offers) {
        if (offer.connection == connection) {
            closed_offers.push_back(id);
        }
    }
    for (const auto& id : closed_offers) {
        wire::withdraw_message withdrawal;
        withdrawal.dispatch = wire::to_wire(id);
        withdraw(withdrawal);
    }
}

void offer_scheduler::tick() {
    const auto now = steady_clock::now();
    for (const auto& id : m_context.ledger.expire_grants(now)) {
        const auto found = m_offers.find(id);
        if (found == m_offers.end()) {
            continue;
        }
        m_context.metrics.grant_expired();
        m_context.record(audit::event::lapsed, found->second.request);
        end_offer(id, error_kind::overloaded);
    }
    for (const auto& queued : m_queue.take_unreachable(now)) {
        end_offer(queued.dispatch, error_kind::deadline_unreachable);
    }
    grant_waiting();
}

void offer_scheduler::drain() {
    m_is_draining = true;
    recheck_offers();
}

void offer_scheduler::set_paused(bool is_paused) {
    m_is_paused = is_paused;
    grant_waiting();
}

void offer_scheduler::recheck_offers() {
    std::vector<dispatch_id> waiting;
    waiting.reserve(m_offers.size());
    for (const auto& [id, offer] : m_offers) {
        waiting.push_back(id);
    }
    for (const auto& id : waiting) {
        const auto& request = m_offers.at(id).request;
        if (const auto obstacle = find_obstacle(request)) {
            end_offer(id, *obstacle);
        }
    }
    grant_waiting();
}

void offer_scheduler::end_offer(dispatch_id dispatch, error_kind kind) {
    const auto found = m_offers.find(dispatch);
    if (found == m_offers.end()) {
        return;
    }
    const auto now = steady_clock::now();
    m_context.ledger.withdraw(dispatch, now);
    m_queue.remove(dispatch, now);
    release_capacity(found->second);
    const auto offer = std::move(found->second);
    m_offers.erase(found);
    m_context.metrics.refused(kind, offer.request.tier);
    m_context.record(audit::event::refused, offer.request, kind);
    send_not_begun(offer.connection, wire::to_wire(dispatch), kind, retry_after(offer.request.tier));
}

void offer_scheduler::send_not_begun(connection_id connection, const wire::id& dispatch, error_kind kind,
                                     milliseconds retry_after) {
    wire::not_begun_message refusal;
    refusal.dispatch = dispatch;
    refusal.error_kind = wire::to_wire(kind);
    refusal.retry_after_ms = to_wire_milliseconds(retry_after);
    m_context.peers.send(connection, std::move(refusal));
}

void offer_scheduler::release_capacity(pending_offer& offer) {
    if (!offer.admission) {
        return;
    }
    m_context.limit.release(*offer.admission);
    m_queue.refund(offer.queued);
}

std::unique_ptr<wire::load_report_message> offer_scheduler::make_load_report() const {
    auto report = std::make_unique<wire::load_report_message>();
    report->queued_requests = static_cast<std::uint32_t>(m_queue.requests());
    report->queued_tokens = m_queue.tokens();
    report->running_sequences = m_context.limit.running();
    report->prefill_tokens_in_progress = m_context.limit.prefilling_tokens();
    report->sequence_limit = m_context.limit.sequence_limit();
    report->prefill_token_limit = m_context.limit.prefill_token_limit();
    report->prefill_tokens_per_second = m_context.costs.steady_prefill_rate();
    report->output_tokens_per_second = m_context.costs.output_rate();
    constexpr unsigned lowest_tier = UINT8_MAX;
    const auto wait = m_queue.expected_wait(lowest_tier).value_or(duration::zero());
    report->expected_wait_ms = to_wire_milliseconds(std::chrono::duration_cast<milliseconds>(wait));
    for (unsigned rank = 0; rank < m_context.configuration.current()->tiers.size(); ++rank) {
        const auto of_tier = m_queue.expected_wait(rank).value_or(duration::zero());
        report->tier_wait_ms.push_back(
            to_wire_milliseconds(std::chrono::duration_cast<milliseconds>(of_tier)));
    }
    return report;
}

} // namespace borageford::sidecar
