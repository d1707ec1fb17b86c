// Sends the offers of one request, and handles the replies, grants and refusals.
#include "entry/offer_round.hpp"

#include "base/hash.hpp"
#include "base/request_error.hpp"
#include "entry/call_record.hpp"
#include "entry/request_run.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Retry-After for a refused request when no sidecar sent a time.
constexpr milliseconds default_retry_after{1000};
/// Time between two offers of a request that has crash marks.
constexpr milliseconds marked_request_delay{500};
/// Timeout of a lookup. Its sidecar may be unreachable, and the caller waits meanwhile.
constexpr milliseconds lookup_limit{100};

/// The latest load report of a sidecar, with the expected wait for this tier.
std::optional<policy::reported_load> load_for_policy(const sidecar_link& link, unsigned tier,
                                                     steady_clock::time_point now) {
    const auto load = link.load();
    if (!load) {
        return std::nullopt;
    }
    const auto& waits = load->tier_wait_ms;
    const milliseconds wait(tier < waits.size() ? waits[tier] : load->expected_wait_ms);
    return policy::reported_load{load->queued_requests, load->running_sequences,
                                 load->prefill_tokens_per_second, wait, now - load->reported};
}

/// The candidates as policy::plan_placement() takes them. `holders` are the servers that have a prefix of the
/// prompt cached.
std::vector<policy::placement_candidate>
make_placement_candidates(const std::vector<candidate>& servers,
                          std::span<const policy::prefix_holder> holders, unsigned tier) {
    const auto now = steady_clock::now();
    std::vector<policy::placement_candidate> result;
    result.reserve(servers.size());
    for (const auto& server : servers) {
        policy::placement_candidate entry;
        entry.name_hash = server.name_hash;
        entry.failure_domain = server.failure_domain;
        entry.region = server.region;
        entry.load = load_for_policy(*server.link, tier, now);
        entry.own_requests_since = server.link->sent_since_report();
        const auto holder = std::ranges::find(holders, server.name_hash, &policy::prefix_holder::server);
        entry.cached_tokens = holder == holders.end() ? 0 : holder->tokens;
        result.push_back(entry);
    }
    return result;
}

/// Returns whether the first reason for a refusal is more informative for the caller than the second.
bool is_more_informative(error_kind first, error_kind second) {
    const auto weight = [](error_kind kind) {
        switch (kind) {
        case error_kind::quarantined:
            return 4;
        case error_kind::deadline_unreachable:
            return 3;
        case error_kind::overloaded:
            return 2;
        case error_kind::no_backend_server:
            return 0;
        default:
            return 1;
        }
    };
    return weight(first) > weight(second);
}

} // namespace

offer_round::offer_round(entry_context& context, const call& request, std::shared_ptr<event_mailbox> events)
    : m_context(context), m_call(request), m_events(std::move(events)), m_table(context.servers.current()) {}

void offer_round::plan() {
    m_candidates = server_directory::find(*m_table, m_call.target, m_call.is_service);
    std::erase_if(m_candidates, [](const candidate& server) {
        return server.link->is_shutting_down() || server.link->is_unreachable();
    });
    const auto& common = m_context.settings.common;
    policy::placement_request request;
    request.home_key = m_context.prefixes.home_key(m_call.prefix_hashes);
    request.prompt_tokens = m_call.prompt_tokens;
    request.tier = m_call.tier->rank;
    request.first_token_target = m_call.tier->first_token_target;
    request.failure_domain = common.failure_domain;
    request.region = common.region;
    request.sequence = m_context.placement_count++;
    request.seed = m_call.id.low;
    const auto holders = m_context.prefixes.find_holders(m_call.prefix_hashes);
    const auto placement_candidates = make_placement_candidates(m_candidates, holders, m_call.tier->rank);
    m_plan = policy::plan_placement(m_context.settings.placement, request, placement_candidates);
    if (m_context.crash_marks.marks(m_call.fingerprint) > 0) {
        plan_for_marked_request();
    }
}

/// Changes the plan for a request that was running when a backend server died and may have caused its crash:
/// it is offered first to the servers with the fewest running requests, one server at a time, so that another
/// crash would abort few other requests.
void offer_round::plan_for_marked_request() {
    const auto running = [this](const policy::planned_offer& offer) {
        const auto load = m_candidates.at(offer.candidate).link->load();
        return load ? load->running_sequences : 0;
    };
    std::ranges::sort(m_plan.offers, {}, running);
    policy::duration after{};
    for (auto& offer : m_plan.offers) {
        offer.after = after;
        after += marked_request_delay;
    }
}

asio::awaitable<place> offer_round::find_place() {
    plan();
    if (m_plan.offers.empty()) {
        throw request_error(error_kind::no_backend_server, {}, m_context.settings.common.poll_period);
    }
    send_lookup();
    send_due_offers();
    for (;;) {
        const auto event = co_await m_events->receive(next_wake_time());
        if (event) {
            if (auto found = handle(*event)) {
                co_return *found;
            }
        }
        if (auto held = take_held_grant()) {
            co_return *held;
        }
        if (event) {
            // Pending events are handled before the deadline is checked.
        } else if (steady_clock::now() >= m_call.deadline) {
            withdraw_all();
            throw request_error(error_kind::deadline_unreachable, {},
                                m_retry_after.value_or(default_retry_after));
        }
        send_due_offers();
        while (m_open_offers.empty() && m_next_offer < m_plan.offers.size()) {
            send_next_group(); // all offers were refused, so the next group is sent before its time
        }
        if (is_exhausted()) {
            refuse();
        }
    }
}

std::optional<steady_clock::time_point> offer_round::next_offer_time() const {
    if (m_next_offer == m_plan.offers.size()) {
        return std::nullopt;
    }
    return m_start_time + m_plan.offers.at(m_next_offer).after;
}

void offer_round::send_due_offers() {
    for (auto next = next_offer_time(); next && *next <= steady_clock::now(); next = next_offer_time()) {
        send_next_group();
    }
}

void offer_round::send_next_group() {
    const auto after = m_plan.offers.at(m_next_offer).after;
    while (m_next_offer < m_plan.offers.size() && m_plan.offers.at(m_next_offer).after == after) {
        const auto& server = m_candidates.at(m_plan.offers.at(m_next_offer).candidate);
        send_offer({server.link, server.name});
        ++m_next_offer;
    }
}

bool offer_round::is_exhausted() const noexcept {
    return m_open_offers.empty() && m_next_offer == m_plan.offers.size() && !must_wait_for_lookup();
}

steady_clock::time_point offer_round::next_wake_time() const {
    auto wake = std::min(m_call.deadline, next_offer_time().value_or(m_call.deadline));
    if (must_wait_for_lookup()) {
        wake = std::min(wake, m_start_time + lookup_limit);
    }
    return wake;
}

/// Sends the lookup. The server is chosen by rendezvous hashing of the resend key, so that all copies of a
/// request are looked up at the same server whichever entries they are sent to.
void offer_round::send_lookup() {
    if (m_call.resend_key == 0) {
        return;
    }
    const auto score = [this](const candidate& server) {
        return policy::rendezvous_score(m_call.resend_key, server.name_hash, 1);
    };
    const auto chosen = std::ranges::max_element(m_candidates, {}, score);
    m_lookup = resend_lookup{chosen->link, identifier::random()};
    auto lookup_offer = make_offer(m_lookup->dispatch);
    lookup_offer.lookup_only = true;
    lookup_offer.prefix_hashes.clear();
    chosen->link->send_for_dispatch(m_lookup->dispatch, m_events, std::move(lookup_offer));
}

bool offer_round::is_lookup(const dispatch_id& dispatch) const noexcept {
    return m_lookup && m_lookup->dispatch == dispatch;
}

bool offer_round::must_wait_for_lookup() const noexcept {
    return m_lookup && m_lookup->is_pending && steady_clock::now() < m_start_time + lookup_limit;
}

std::optional<place> offer_round::take_held_grant() {
    if (!m_held_grant || must_wait_for_lookup()) {
        return std::nullopt;
    }
    m_open_offers.erase(m_held_grant->dispatch);
    return std::exchange(m_held_grant, std::nullopt);
}

void offer_round::refuse() const {
    throw request_error(m_refusal.value_or(error_kind::no_backend_server), {},
                        m_retry_after.value_or(default_retry_after));
}

wire::offer_message offer_round::make_offer(const dispatch_id& dispatch) const {
    wire::offer_message offer;
    offer.dispatch = wire::to_wire(dispatch);
    offer.request = wire::to_wire(m_call.id);
    offer.workspace = m_call.workspace->name;
    offer.tier = static_cast<std::uint8_t>(m_call.tier->rank);
    offer.target = m_call.target;
    offer.is_service = m_call.is_service;
    offer.idempotent = m_call.is_idempotent;
    offer.prompt_tokens = m_call.prompt_tokens;
    offer.expected_output_tokens = m_call.expected_output_tokens;
    offer.prefix_hashes = m_call.prefix_hashes;
    offer.fingerprint = m_call.fingerprint;
    offer.resend_key = m_call.resend_key;
    const auto now = steady_clock::now();
    const auto target = m_call.received + m_call.tier->first_token_target;
    const auto target_left = std::chrono::duration_cast<milliseconds>(target - now).count();
    offer.target_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, target_left));
    const auto left = std::chrono::duration_cast<milliseconds>(m_call.deadline - now).count();
    offer.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
    return offer;
}

void offer_round::send_offer(open_offer place) {
    const auto dispatch = identifier::random();
    m_context.metrics.count_offer();
    record(audit::event::offered, dispatch, place.backend_server);
    const auto link = place.link;
    m_open_offers.emplace(dispatch, std::move(place));
    link->send_for_dispatch(dispatch, m_events, make_offer(dispatch));
}

std::optional<place> offer_round::handle(const dispatch_event& event) {
    if (const auto* reply = std::get_if<wire::offer_reply_message>(&event)) {
        return handle_reply(*reply);
    }
    if (const auto* grant = std::get_if<wire::grant_message>(&event)) {
        return handle_grant(*grant);
    }
    if (const auto* refusal = std::get_if<wire::not_begun_message>(&event)) {
        handle_refusal(wire::from_wire(refusal->dispatch), wire::error_kind_from_wire(refusal->error_kind),
                       milliseconds(refusal->retry_after_ms));
    } else if (const auto* lost = std::get_if<connection_lost>(&event)) {
        handle_lost_connection(lost->dispatch);
    } else if (std::holds_alternative<caller_disconnected>(event)) {
        withdraw_all();
        throw caller_disconnected_error();
    }
    return std::nullopt; // other messages belong to an earlier dispatch of the request and are ignored
}

std::optional<place> offer_round::handle_reply(const wire::offer_reply_message& reply) {
    const auto dispatch = wire::from_wire(reply.dispatch);
    const auto found = m_open_offers.find(dispatch);
    if (found != m_open_offers.end() && reply.load != nullptr) {
        const auto& cached = reply.load->cached_prefixes;
        m_context.prefixes.record_reply(m_call.prefix_hashes,
                                        cached.empty() ? std::nullopt : std::optional(cached.back()),
                                        hash_bytes(found->second.backend_server));
    }
    if (is_lookup(dispatch)) {
        m_lookup->is_pending = false;
        return find_earlier_copy(reply, m_lookup->link, m_lookup->link->vm().backend_server);
    }
    if (found == m_open_offers.end()) {
        return std::nullopt;
    }
    if (reply.verdict == wire::offer_verdict::refused) {
        handle_refusal(dispatch, wire::error_kind_from_wire(reply.error_kind),
                       milliseconds(reply.retry_after_ms));
        return std::nullopt;
    }
    return find_earlier_copy(reply, found->second.link, found->second.backend_server);
}

/// Returns where an earlier copy of the request runs or has run, if the reply says so.
std::optional<place> offer_round::find_earlier_copy(const wire::offer_reply_message& reply,
                                                    const std::shared_ptr<sidecar_link>& link,
                                                    const std::string& backend_server) const {
    const auto running = wire::from_wire(reply.running_dispatch);
    if (reply.verdict == wire::offer_verdict::attachable) {
        return attachable_place{link, backend_server, running, link->incarnation()};
    }
    if (reply.verdict != wire::offer_verdict::known_elsewhere) {
        return std::nullopt;
    }
    const auto other = m_table->by_server.find(reply.backend_server);
    if (other == m_table->by_server.end()) {
        return std::nullopt; // the server where it was started has been removed; the offers stay open
    }
    return attachable_place{other->second, reply.backend_server, running, {}};
}

std::optional<place> offer_round::handle_grant(const wire::grant_message& grant) {
    const auto dispatch = wire::from_wire(grant.dispatch);
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end()) {
        return std::nullopt;
    }
    granted_place where{found->second.link, found->second.backend_server,
                        dispatch,           found->second.link->incarnation(),
                        grant.revision,     grant.granted_at_ms};
    if (must_wait_for_lookup()) {
        if (!m_held_grant) {
            m_held_grant = where;
        }
        return std::nullopt;
    }
    m_open_offers.erase(found);
    return where;
}

void offer_round::handle_refusal(const dispatch_id& dispatch, error_kind kind, milliseconds retry_after) {
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end()) {
        return;
    }
    if (m_held_grant && m_held_grant->dispatch == dispatch) {
        m_held_grant.reset();
    }
    record(audit::event::refused, dispatch, found->second.backend_server, kind);
    if (kind == error_kind::quarantined) {
        withdraw_all(); // a quarantine holds for all servers, so one such refusal is enough
        throw request_error(kind, {}, retry_after);
    }
    found->second.link->remove_listener(dispatch);
    m_open_offers.erase(found);
    if (!m_refusal || is_more_informative(kind, *m_refusal)) {
        m_refusal = kind;
    }
    if (retry_after.count() > 0) {
        m_retry_after = std::min(retry_after, m_retry_after.value_or(retry_after));
    }
}

/// Handles the loss of a connection as a refusal, and sends the offer once more on a new connection. The lost
/// connection doesn't mean that the server is down, and the offer can't have run. Without the second offer,
/// one reset connection would cause all requests with offers on it to be refused.
void offer_round::handle_lost_connection(const dispatch_id& dispatch) {
    if (is_lookup(dispatch)) {
        m_lookup->is_pending = false; // not sent again, because the caller waits
        return;
    }
    const auto found = m_open_offers.find(dispatch);
    if (found == m_open_offers.end()) {
        return;
    }
    auto place = found->second;
    handle_refusal(dispatch, error_kind::no_backend_server, milliseconds(0));
    if (!place.is_retry && !place.link->is_unreachable()) {
        place.is_retry = true;
        send_offer(std::move(place));
    }
}

void offer_round::withdraw_all(const std::string& started_at, const dispatch_id& running) {
    for (const auto& [dispatch, offer] : std::exchange(m_open_offers, {})) {
        wire::withdraw_message withdrawal;
        withdrawal.dispatch = wire::to_wire(dispatch);
        withdrawal.started_at = started_at;
        withdrawal.running_dispatch = wire::to_wire(running);
        offer.link->remove_listener(dispatch);
        offer.link->send_if_connected(withdrawal);
        m_context.metrics.count_withdrawal();
    }
    if (const auto lookup = std::exchange(m_lookup, std::nullopt)) {
        wire::withdraw_message withdrawal;
        withdrawal.dispatch = wire::to_wire(lookup->dispatch);
        withdrawal.started_at = started_at;
        withdrawal.running_dispatch = wire::to_wire(running);
        lookup->link->remove_listener(lookup->dispatch);
        lookup->link->send_if_connected(withdrawal);
    }
}

void offer_round::record(audit::event what, const dispatch_id& dispatch, const std::string& backend_server,
                         std::optional<error_kind> reason) {
    auto entry = make_record(m_call, what);
    entry.dispatch = dispatch;
    entry.backend_server = backend_server;
    entry.reason = reason;
    m_context.audit.record(std::move(entry));
}

} // namespace borageford::entry
