// One request from its offers to the end of its answer.
#include "entry/request_run.hpp"

#include "base/hash.hpp"
#include "entry/call_parser.hpp"
#include "entry/call_record.hpp"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace borageford::entry {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int most_attempts = 4;
constexpr int most_stale_attempts = 50;
constexpr milliseconds revision_wait{50};
/// Wakes a run that waits for its answer, so that the fate of a lost connection is asked in time.
constexpr std::chrono::hours longest_wait{24};

/// By how much the clocks of two entries may differ: a claim is taken to be older by this.
constexpr std::chrono::minutes clock_difference{1};

milliseconds age_of(steady_clock::time_point started) {
    constexpr milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    return std::min(std::chrono::duration_cast<milliseconds>(steady_clock::now() - started), longest);
}

steady_clock::time_point start_of(const claim& held) {
    const std::chrono::seconds age(std::max<std::int64_t>(0, claim_time_now() - held.time));
    return steady_clock::now() - age - clock_difference;
}

/// Refusals after a grant that another backend server may answer differently.
bool is_worth_another_place(error_kind kind) {
    return kind == error_kind::draining || kind == error_kind::no_backend_server ||
           kind == error_kind::overloaded;
}

} // namespace

request_run::request_run(entry_context& context, call& request, caller_answer& answer,
                         std::shared_ptr<event_mailbox> events)
    : m_context(context),
      m_call(request),
      m_answer(answer),
      m_events(std::move(events)),
      m_claim(context.claims, request),
      m_inquiry(context.settings.fate_limit) {}

asio::awaitable<void> request_run::serve() {
    std::optional<request_error> failure;
    try {
        co_await serve_to_end();
    } catch (const request_error& error) {
        failure = error;
    }
    if (failure) {
        const auto judged = co_await judge_unknown(*failure);
        throw judged;
    }
}

asio::awaitable<void> request_run::serve_to_end() {
    if (const auto left = m_context.crashes.quarantine_left(m_call.fingerprint)) {
        throw request_error(error_kind::quarantined, {}, left);
    }
    for (;;) {
        co_await place();
        if (co_await follow() == follow_result::whole) {
            co_return;
        }
        m_context.metrics.placed_again();
        // Homes may have been told of the dispatch that isn't to be had: they would lead every further offer
        // back to it, and the request would be refused in the end instead of run.
        m_call.resend_key = 0;
        if (!may_place_again()) {
            m_claim.release();
            throw m_not_begun.value_or(request_error(error_kind::no_backend_server));
        }
        if (m_not_begun && m_not_begun->kind() == error_kind::stale_revision) {
            // One of the two is fetching the newer revision now.
            co_await m_context.configuration.wait_past(m_call.configuration->revision, revision_wait);
        }
    }
}

/// Brings the request to a start, or to an answer that runs already.
asio::awaitable<void> request_run::place() {
    bool is_placed = false;
    while (!is_placed) {
        std::optional<request_error> refusal;
        offer_round round(m_context, m_call, m_events);
        try {
            follow_configuration();
            const auto found = co_await round.find_place();
            if (const auto* running = std::get_if<attachable_place>(&found)) {
                join(*running);
                is_placed = true;
            } else {
                is_placed = co_await take_grant(std::get<granted_place>(found));
            }
        } catch (const request_error& error) {
            refusal = error;
        }
        if (refusal) {
            round.withdraw_all();
            if (co_await join_earlier_copy()) {
                co_return;
            }
            m_claim.release();
            throw *refusal;
        }
        if (is_placed && !m_joined) {
            round.withdraw_all(m_started->backend_server, m_started->dispatch);
        } else { // of a joined run it isn't known yet whether it ever began
            round.withdraw_all();
        }
    }
}

/// This copy of a non-idempotent call is about to be refused as not run. An earlier one, sent through another
/// entry perhaps, may have run or be running: its caller would believe that it may send a new key, and the
/// call would run twice. The row of the key says so.
asio::awaitable<bool> request_run::join_earlier_copy() {
    const auto standing = co_await m_claim.find_earlier();
    if (standing) {
        join_claimed(*standing);
    }
    co_return standing.has_value();
}

/// What can't be learned from a sidecar may stand in the row: a call that ran to its end is marked there.
asio::awaitable<request_error> request_run::judge_unknown(request_error failure) {
    if (failure.kind() != error_kind::outcome_unknown) {
        co_return failure;
    }
    const bool has_run = co_await m_claim.is_finished();
    if (has_run) {
        co_return request_error(error_kind::already_ran);
    }
    co_return failure;
}

/// A decision taken under a revision that is no longer in force is taken again. Returns whether it changed.
bool request_run::follow_configuration() {
    if (m_context.configuration.revision() == m_call.configuration->revision) {
        return false;
    }
    renew_call(m_call, m_context.configuration.current());
    return true;
}

bool request_run::may_place_again() {
    if (!m_not_begun) {
        return ++m_attempts < most_attempts && m_context.admissions.try_retry();
    }
    if (m_not_begun->kind() == error_kind::stale_revision) {
        return ++m_stale_attempts < most_stale_attempts && steady_clock::now() < m_call.deadline;
    }
    return is_worth_another_place(m_not_begun->kind()) && ++m_attempts < most_attempts &&
           m_context.admissions.try_retry();
}

/// Starts the request and returns true; or gives the grant back, because another run of the request has
/// been joined (true), or because the grant was for a decision under an older revision (false).
asio::awaitable<bool> request_run::take_grant(granted_place place) {
    std::optional<request_error> refusal;
    bool is_placed = false;
    try {
        if (!follow_configuration()) {
            const bool is_ours = co_await claim_before_start(place);
            // The claim takes a while: what came meanwhile counts too.
            if (is_ours && !follow_configuration()) {
                start(place);
                co_return true;
            }
            is_placed = !is_ours;
        }
    } catch (const request_error& error) {
        refusal = error;
    }
    wire::withdraw_message withdrawal;
    withdrawal.dispatch = wire::to_wire(place.dispatch);
    place.link->forget(place.dispatch);
    place.link->send_if_connected(withdrawal);
    if (refusal) {
        throw *refusal;
    }
    co_return is_placed;
}

/// Returns whether the start is ours to send; otherwise another run of this request has been joined.
asio::awaitable<bool> request_run::claim_before_start(const granted_place& place) {
    const auto standing = co_await m_claim.take(place);
    if (standing) {
        join_claimed(*standing);
        co_return false;
    }
    if (!m_call.is_idempotent) {
        record(audit::event::claimed, {place.link, place.backend_server, place.dispatch, {}, {}});
    }
    co_return true;
}

/// Another run holds the key: its answer is this caller's answer, if it is still to be had.
void request_run::join_claimed(const claim& standing) {
    m_claim.adopt(standing);
    const auto table = m_context.servers.current();
    const auto found = table->by_server.find(standing.backend_server);
    if (found == table->by_server.end()) {
        throw request_error(m_claim.is_known_finished() ? error_kind::already_ran
                                                        : error_kind::outcome_unknown);
    }
    m_joined = true;
    m_started = started_dispatch{found->second, standing.backend_server, standing.dispatch,
                                 standing.incarnation, start_of(standing)};
    m_context.metrics.attached();
    attach();
}

void request_run::join(const attachable_place& place) {
    m_joined = true;
    m_started = started_dispatch{place.link, place.backend_server, place.dispatch, place.incarnation, {}};
    m_context.metrics.attached();
    record(audit::event::attached, *m_started);
    attach();
}

void request_run::start(const granted_place& place) {
    m_joined = false;
    m_inquiry.settle();
    m_started = started_dispatch{place.link, place.backend_server, place.dispatch, place.incarnation,
                                 steady_clock::now()};
    wire::start_message start;
    start.dispatch = wire::to_wire(place.dispatch);
    start.revision = m_call.configuration->revision;
    start.method = m_call.method;
    start.path = m_call.path;
    start.content_type = m_call.content_type;
    start.body.assign(m_call.body.begin(), m_call.body.end());
    start.streamed = m_call.is_streamed;
    m_context.prefixes.record_start(m_call.prefix_hashes, hash_bytes(place.backend_server));
    m_context.metrics.started();
    m_context.metrics.queue_wait(m_call, steady_clock::now() - m_call.received);
    record(audit::event::started, *m_started);
    place.link->send_for(place.dispatch, m_events, std::move(start));
}

void request_run::attach() {
    wire::attach_message attach;
    attach.dispatch = wire::to_wire(m_started->dispatch);
    attach.incarnation = wire::to_wire(m_started->incarnation);
    attach.offset = m_answer.received();
    attach.started_ms_ago = static_cast<std::uint32_t>(age_of(m_started->started).count());
    m_started->link->send_for(m_started->dispatch, m_events, attach);
}

asio::awaitable<request_run::follow_result> request_run::follow() {
    for (;;) {
        const auto until = m_inquiry.next_question().value_or(steady_clock::now() + longest_wait);
        auto event = co_await m_events->receive(until);
        if (!event) {
            ask_fate_again();
            continue;
        }
        if (!concerns_current(*event)) {
            continue;
        }
        if (const auto result = co_await handle(std::move(*event))) {
            co_return *result;
        }
    }
}

/// Late messages of earlier offers may still be in the mailbox; only the started dispatch counts.
bool request_run::concerns_current(const dispatch_event& event) const {
    return std::visit(
        [this](const auto& content) {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, caller_gone>) {
                return true;
            } else if constexpr (std::is_same_v<content_type, connection_lost>) {
                return content.dispatch == m_started->dispatch;
            } else {
                return wire::from_wire(content.dispatch) == m_started->dispatch;
            }
        },
        event);
}

asio::awaitable<std::optional<request_run::follow_result>> request_run::handle(dispatch_event event) {
    if (const auto* chunk = std::get_if<wire::chunk_message>(&event)) {
        co_await take_chunk(*chunk);
    } else if (auto* head = std::get_if<wire::answer_head_message>(&event)) {
        co_await m_answer.take_head(head->status, std::move(head->content_type));
    } else if (const auto* end = std::get_if<wire::answer_end_message>(&event)) {
        co_return co_await take_end(*end);
    } else if (const auto* fate = std::get_if<wire::fate_message>(&event)) {
        co_return take_fate(*fate);
    } else if (const auto* refusal = std::get_if<wire::not_begun_message>(&event)) {
        co_return take_not_begun(*refusal);
    } else if (std::holds_alternative<connection_lost>(event)) {
        note_lost_connection();
    } else if (std::holds_alternative<caller_gone>(event)) {
        wire::abandon_message abandon;
        abandon.dispatch = wire::to_wire(m_started->dispatch);
        m_started->link->send_if_connected(abandon);
        m_started->link->forget(m_started->dispatch);
        throw caller_left();
    }
    co_return std::nullopt;
}

asio::awaitable<void> request_run::take_chunk(const wire::chunk_message& chunk) {
    const auto now = steady_clock::now();
    const bool is_first = !m_answer.first_piece();
    const std::string_view bytes(reinterpret_cast<const char*>(chunk.data.data()), chunk.data.size());
    if (!co_await m_answer.take(chunk.offset, bytes)) {
        attach(); // bytes are missing: ask for the answer from where we are
        co_return;
    }
    if (is_first) {
        m_context.metrics.first_token(m_call, now - m_call.received);
    } else if (m_last_piece) {
        m_context.metrics.between_tokens(m_call, now - *m_last_piece);
    }
    m_last_piece = now;
}

asio::awaitable<std::optional<request_run::follow_result>>
request_run::take_end(const wire::answer_end_message& end) {
    if (end.failed) {
        m_started->link->forget(m_started->dispatch);
        std::optional<milliseconds> retry_after;
        if (end.retry_after_ms > 0) {
            retry_after = milliseconds(end.retry_after_ms);
        }
        throw request_error(wire::error_kind_from_wire(end.error_kind), {}, retry_after);
    }
    if (m_answer.received() < end.total_length || !m_answer.has_head()) {
        attach();
        co_return std::nullopt;
    }
    co_await m_answer.finish();
    // Only now: an answer given up by its sidecar before the caller has it would be lost with this entry.
    wire::acknowledge_message acknowledge;
    acknowledge.dispatch = wire::to_wire(m_started->dispatch);
    m_started->link->send_if_connected(acknowledge);
    m_started->link->forget(m_started->dispatch);
    m_claim.finish();
    m_context.metrics.answered();
    m_context.metrics.total(m_call, steady_clock::now() - m_call.received);
    record(audit::event::answered, *m_started);
    co_return follow_result::whole;
}

std::optional<request_run::follow_result> request_run::take_fate(const wire::fate_message& fate) {
    switch (fate.state) {
    case wire::dispatch_fate::running:
    case wire::dispatch_fate::finished:
        m_inquiry.settle();
        return std::nullopt;
    case wire::dispatch_fate::not_begun:
        if (m_claim.is_known_finished()) {
            break; // its row says that it has run
        }
        if (!m_answer.has_head()) {
            return place_anew();
        }
        break; // it had begun: a sidecar that says otherwise knows nothing
    case wire::dispatch_fate::unknown:
        if (m_joined && m_call.is_idempotent && !m_answer.has_head()) {
            return place_anew(); // which an idempotent call may be
        }
        break;
    }
    m_started->link->forget(m_started->dispatch);
    if (m_joined && !m_call.is_idempotent && !m_claim.is_known()) {
        return place_anew(); // a home led here; what became of the call is said by its claim
    }
    if (m_claim.is_known_finished()) {
        throw request_error(error_kind::already_ran);
    }
    throw request_error(error_kind::outcome_unknown);
}

/// Sidecars may go on naming what was to be joined: without its key the next round doesn't ask for it, and
/// the claim of a call that isn't idempotent still stands before a second run.
request_run::follow_result request_run::place_anew() {
    if (m_joined) {
        m_call.resend_key = 0;
    }
    m_not_begun.reset();
    m_started->link->forget(m_started->dispatch);
    return follow_result::not_begun;
}

std::optional<request_run::follow_result>
request_run::take_not_begun(const wire::not_begun_message& refusal) {
    if (m_answer.has_head()) {
        throw request_error(error_kind::outcome_unknown);
    }
    m_started->link->forget(m_started->dispatch);
    m_not_begun = request_error(wire::error_kind_from_wire(refusal.error_kind), {},
                                milliseconds(refusal.retry_after_ms));
    return follow_result::not_begun;
}

void request_run::note_lost_connection() {
    if (!m_inquiry.note_loss(steady_clock::now())) {
        throw request_error(error_kind::outcome_unknown);
    }
}

/// The sidecar may have come back at another address: the newest one known is asked.
void request_run::ask_fate_again() {
    if (!m_inquiry.next_question()) {
        return;
    }
    m_inquiry.note_question();
    const auto table = m_context.servers.current();
    const auto found = table->by_server.find(m_started->backend_server);
    if (found != table->by_server.end()) {
        m_started->link = found->second;
    }
    attach();
}

void request_run::record(audit::event what, const started_dispatch& place, std::string detail) {
    auto entry = make_record(m_call, what);
    entry.dispatch = place.dispatch;
    entry.backend_server = place.backend_server;
    entry.detail = std::move(detail);
    m_context.audit.record(std::move(entry));
}

} // namespace borageford::entry
