// Serves one request from its first offer to the end of its answer.
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

/// How often a request is placed at most.
constexpr int max_attempts = 4;
/// How often a request is placed at most when grants are refused because of a stale revision.
constexpr int max_stale_attempts = 50;
/// How long a request waits for a newer revision before it is placed again.
constexpr milliseconds revision_wait{50};
/// How long a run waits for an event when it has no reason to wake up earlier, such as a request for a fate.
constexpr std::chrono::hours max_event_wait{24};

/// The assumed maximum difference between the clocks of two entries. A claim counts as older by this time.
/// Used only with sidecars that don't state when they granted a dispatch.
constexpr std::chrono::minutes max_clock_difference{1};

/// The time since a start, limited to what fits `attach_message::started_ms_ago`.
milliseconds age_of(steady_clock::time_point started) {
    constexpr milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    return std::min(std::chrono::duration_cast<milliseconds>(steady_clock::now() - started), longest);
}

/// A time no later than that at which the call of this claim was started.
steady_clock::time_point start_of(const claim& claimed) {
    const std::chrono::seconds age(std::max<std::int64_t>(0, claim_time_now() - claimed.time));
    return steady_clock::now() - age - max_clock_difference;
}

/// True for a refusal of a start that another backend server might not repeat.
bool is_retryable_elsewhere(error_kind kind) {
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
      m_fate_requests(context.settings.fate_limit) {}

asio::awaitable<void> request_run::serve() {
    std::optional<request_error> failure;
    try {
        co_await serve_to_end();
    } catch (const request_error& error) {
        failure = error;
    }
    if (failure) {
        const auto resolved = co_await resolve_unknown_outcome(*failure);
        throw resolved;
    }
}

asio::awaitable<void> request_run::serve_to_end() {
    if (const auto left = m_context.crash_marks.quarantine_left(m_call.fingerprint)) {
        throw request_error(error_kind::quarantined, {}, left);
    }
    for (;;) {
        co_await place();
        if (co_await wait_for_answer() == wait_result::complete) {
            co_return;
        }
        m_context.metrics.count_placed_again();
        // Sidecars may have been told of the dispatch that has turned out not to exist. They would answer
        // every further offer with it, so that the request would be refused in the end instead of run.
        // Without its resend key they don't recognize the request.
        m_call.resend_key = 0;
        if (!try_place_again()) {
            m_claim.release();
            throw m_not_begun.value_or(request_error(error_kind::no_backend_server));
        }
        if (m_not_begun && m_not_begun->kind() == error_kind::stale_revision) {
            // Either this entry or the sidecar has an older revision and is fetching the newer one now.
            co_await m_context.configuration.wait_for_newer(m_call.configuration->revision, revision_wait);
        }
    }
}

/// Finds a place for the request and starts it there, or attaches to a dispatch of it that exists already.
asio::awaitable<void> request_run::place() {
    bool is_placed = false;
    while (!is_placed) {
        std::optional<request_error> refusal;
        offer_round round(m_context, m_call, m_events);
        try {
            update_configuration();
            const auto found = co_await round.find_place();
            if (const auto* running = std::get_if<attachable_place>(&found)) {
                join(*running);
                is_placed = true;
            } else {
                is_placed = co_await use_grant(std::get<granted_place>(found));
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
        if (is_placed && !m_is_joined) {
            round.withdraw_all(m_started->backend_server, m_started->dispatch);
        } else { // it isn't known yet whether a joined dispatch was ever begun, so sidecars aren't told of it
            round.withdraw_all();
        }
    }
}

/// Called when a call is about to be refused as not run. If it is non-idempotent, an earlier copy of it,
/// perhaps sent through another entry, may have run or may be running. The caller would conclude from "not
/// run" that it can use a new key, and the call would run twice. The claim's row in the table tells whether
/// there is an earlier copy; if so, this run attaches to it and the function returns true.
asio::awaitable<bool> request_run::join_earlier_copy() {
    const auto existing = co_await m_claim.find_earlier();
    if (existing) {
        join_claimed_run(*existing);
    }
    co_return existing.has_value();
}

/// Returns the error to answer. An outcome that no sidecar knows may be recorded in the claim's row, where
/// calls that ran to their end are marked as finished.
asio::awaitable<request_error> request_run::resolve_unknown_outcome(request_error failure) {
    if (failure.kind() != error_kind::outcome_unknown) {
        co_return failure;
    }
    const bool has_run = co_await m_claim.is_finished();
    if (has_run) {
        co_return request_error(error_kind::already_ran);
    }
    co_return failure;
}

/// Looks the call up in the current configuration if its revision is no longer in force, and returns whether
/// it did. Throws request_error when the call isn't allowed any more.
bool request_run::update_configuration() {
    if (m_context.configuration.revision() == m_call.configuration->revision) {
        return false;
    }
    update_call(m_call, m_context.configuration.current());
    return true;
}

bool request_run::try_place_again() {
    if (!m_not_begun) {
        return ++m_attempts < max_attempts && m_context.admissions.try_retry();
    }
    if (m_not_begun->kind() == error_kind::stale_revision) {
        return ++m_stale_attempts < max_stale_attempts && steady_clock::now() < m_call.deadline;
    }
    return is_retryable_elsewhere(m_not_begun->kind()) && ++m_attempts < max_attempts &&
           m_context.admissions.try_retry();
}

/// Uses a grant. Returns true when the request was started, or when another run of the request was joined
/// instead and the grant was withdrawn. Returns false when the grant was withdrawn because it was given under
/// an older configuration revision; the request then needs a new place.
asio::awaitable<bool> request_run::use_grant(granted_place place) {
    std::optional<request_error> refusal;
    bool is_placed = false;
    try {
        if (!update_configuration()) {
            const bool is_ours = co_await claim_before_start(place);
            // A newer revision may have come into force while the claim was being written.
            if (is_ours && !update_configuration()) {
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
    place.link->remove_listener(place.dispatch);
    place.link->send_if_connected(withdrawal);
    if (refusal) {
        throw *refusal;
    }
    co_return is_placed;
}

/// Claims the idempotency key and returns whether this run may send the start. If it may not, the run that
/// holds the claim has been joined.
asio::awaitable<bool> request_run::claim_before_start(const granted_place& place) {
    const auto existing = co_await m_claim.try_claim(place);
    if (existing) {
        join_claimed_run(*existing);
        co_return false;
    }
    if (!m_call.is_idempotent) {
        record(audit::event::claimed, {place.link, place.backend_server, place.dispatch, {}, {}});
    }
    co_return true;
}

/// Attaches to the dispatch of another run that has claimed the key, so that this caller gets the same answer
/// if the sidecar still has it.
void request_run::join_claimed_run(const claim& existing) {
    m_claim.adopt(existing);
    const auto table = m_context.servers.current();
    const auto found = table->by_server.find(existing.backend_server);
    if (found == table->by_server.end()) {
        throw request_error(m_claim.is_known_finished() ? error_kind::already_ran
                                                        : error_kind::outcome_unknown);
    }
    m_is_joined = true;
    m_started = started_dispatch{found->second,        existing.backend_server, existing.dispatch,
                                 existing.incarnation, start_of(existing),      existing.granted_at_ms};
    m_context.metrics.count_attached();
    attach();
}

void request_run::join(const attachable_place& place) {
    m_is_joined = true;
    m_started = started_dispatch{place.link, place.backend_server, place.dispatch, place.incarnation, {}, 0};
    m_context.metrics.count_attached();
    record(audit::event::attached, *m_started);
    attach();
}

void request_run::start(const granted_place& place) {
    m_is_joined = false;
    m_fate_requests.reset();
    m_started = started_dispatch{place.link,        place.backend_server, place.dispatch,
                                 place.incarnation, steady_clock::now(),  place.granted_at_ms};
    wire::start_message start;
    start.dispatch = wire::to_wire(place.dispatch);
    start.revision = m_call.configuration->revision;
    start.method = m_call.method;
    start.path = m_call.path;
    start.content_type = m_call.content_type;
    start.body.assign(m_call.body.begin(), m_call.body.end());
    start.streamed = m_call.is_streamed;
    m_context.prefixes.record_start(m_call.prefix_hashes, hash_bytes(place.backend_server));
    m_context.metrics.count_start();
    m_context.metrics.record_queue_wait(m_call, steady_clock::now() - m_call.received);
    record(audit::event::started, *m_started);
    place.link->send_for_dispatch(place.dispatch, m_events, std::move(start));
}

void request_run::attach() {
    wire::attach_message attach;
    attach.dispatch = wire::to_wire(m_started->dispatch);
    attach.incarnation = wire::to_wire(m_started->incarnation);
    attach.offset = m_answer.received();
    attach.started_ms_ago = static_cast<std::uint32_t>(age_of(m_started->started).count());
    attach.granted_at_ms = m_started->granted_at_ms;
    m_started->link->send_for_dispatch(m_started->dispatch, m_events, attach);
}

asio::awaitable<request_run::wait_result> request_run::wait_for_answer() {
    for (;;) {
        const auto until = m_fate_requests.next_request_time().value_or(steady_clock::now() + max_event_wait);
        auto event = co_await m_events->receive(until);
        if (!event) {
            request_fate_again();
            continue;
        }
        if (!is_relevant(*event)) {
            continue;
        }
        if (const auto result = co_await handle(std::move(*event))) {
            co_return *result;
        }
    }
}

/// True for events of the started dispatch and for caller_disconnected. The mailbox may still contain
/// messages that answer earlier offers; they are ignored.
bool request_run::is_relevant(const dispatch_event& event) const {
    return std::visit(
        [this](const auto& content) {
            using content_type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<content_type, caller_disconnected>) {
                return true;
            } else if constexpr (std::is_same_v<content_type, connection_lost>) {
                return content.dispatch == m_started->dispatch;
            } else {
                return wire::from_wire(content.dispatch) == m_started->dispatch;
            }
        },
        event);
}

asio::awaitable<std::optional<request_run::wait_result>> request_run::handle(dispatch_event event) {
    if (const auto* chunk = std::get_if<wire::chunk_message>(&event)) {
        co_await handle_chunk(*chunk);
    } else if (auto* head = std::get_if<wire::answer_head_message>(&event)) {
        co_await m_answer.set_head(head->status, std::move(head->content_type));
    } else if (const auto* end = std::get_if<wire::answer_end_message>(&event)) {
        co_return co_await handle_end(*end);
    } else if (const auto* fate = std::get_if<wire::fate_message>(&event)) {
        co_return handle_fate(*fate);
    } else if (const auto* refusal = std::get_if<wire::not_begun_message>(&event)) {
        co_return handle_not_begun(*refusal);
    } else if (std::holds_alternative<connection_lost>(event)) {
        handle_lost_connection();
    } else if (std::holds_alternative<caller_disconnected>(event)) {
        abandon();
        throw caller_disconnected_error();
    }
    co_return std::nullopt;
}

/// Tells the sidecar that the answer isn't read any more.
void request_run::abandon() {
    wire::abandon_message message;
    message.dispatch = wire::to_wire(m_started->dispatch);
    m_started->link->send_if_connected(message);
    m_started->link->remove_listener(m_started->dispatch);
}

asio::awaitable<void> request_run::handle_chunk(const wire::chunk_message& chunk) {
    const auto now = steady_clock::now();
    const bool is_first = !m_answer.first_piece_time();
    const std::string_view bytes(reinterpret_cast<const char*>(chunk.data.data()), chunk.data.size());
    bool has_appended = false;
    try {
        has_appended = co_await m_answer.append(chunk.offset, bytes);
    } catch (const request_error&) {
        abandon(); // otherwise the rest of the answer would go on arriving, and be held, for nobody
        throw;
    }
    if (!has_appended) {
        attach(); // bytes are missing: request the answer again from the first missing byte
        co_return;
    }
    if (is_first) {
        m_context.metrics.record_first_token(m_call, now - m_call.received);
    } else if (m_last_piece_time) {
        m_context.metrics.record_between_tokens(m_call, now - *m_last_piece_time);
    }
    m_last_piece_time = now;
}

asio::awaitable<std::optional<request_run::wait_result>>
request_run::handle_end(const wire::answer_end_message& end) {
    if (end.failed) {
        m_started->link->remove_listener(m_started->dispatch);
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
    // The acknowledgement lets the sidecar discard the answer, so it is sent only after the caller has the
    // complete answer. If it were sent earlier and this entry died, the answer would be lost.
    wire::acknowledge_message acknowledge;
    acknowledge.dispatch = wire::to_wire(m_started->dispatch);
    m_started->link->send_if_connected(acknowledge);
    m_started->link->remove_listener(m_started->dispatch);
    m_claim.finish();
    m_context.metrics.count_answered();
    m_context.metrics.record_total(m_call, steady_clock::now() - m_call.received);
    record(audit::event::answered, *m_started);
    co_return wait_result::complete;
}

std::optional<request_run::wait_result> request_run::handle_fate(const wire::fate_message& fate) {
    switch (fate.state) {
    case wire::dispatch_fate::running:
    case wire::dispatch_fate::finished:
        m_fate_requests.reset();
        return std::nullopt;
    case wire::dispatch_fate::not_begun:
        if (m_claim.is_known_finished()) {
            break; // the claim's row says that the call has run, so it must not be placed again
        }
        if (!m_answer.has_head()) {
            return give_up_dispatch();
        }
        break; // the answer's head has arrived, so the dispatch was begun and its outcome is unknown
    case wire::dispatch_fate::unknown:
        if (m_is_joined && m_call.is_idempotent && !m_answer.has_head()) {
            return give_up_dispatch(); // an idempotent call may run more than once
        }
        break;
    }
    m_started->link->remove_listener(m_started->dispatch);
    if (m_is_joined && !m_call.is_idempotent && !m_claim.is_known()) {
        return give_up_dispatch(); // a reply, not a claim, named this dispatch; the claim is checked before a
                                   // new start
    }
    if (m_claim.is_known_finished()) {
        throw request_error(error_kind::already_ran);
    }
    throw request_error(error_kind::outcome_unknown);
}

/// Gives up the dispatch, so that the request is placed again. If the dispatch was joined, sidecars might
/// still name it in their replies; the resend key is cleared so that the next round doesn't look for it. The
/// claim of a non-idempotent call is still checked before a second run.
request_run::wait_result request_run::give_up_dispatch() {
    if (m_is_joined) {
        m_call.resend_key = 0;
    }
    m_not_begun.reset();
    m_started->link->remove_listener(m_started->dispatch);
    return wait_result::not_begun;
}

std::optional<request_run::wait_result>
request_run::handle_not_begun(const wire::not_begun_message& refusal) {
    if (m_answer.has_head()) {
        throw request_error(error_kind::outcome_unknown);
    }
    m_started->link->remove_listener(m_started->dispatch);
    m_not_begun = request_error(wire::error_kind_from_wire(refusal.error_kind), {},
                                milliseconds(refusal.retry_after_ms));
    return wait_result::not_begun;
}

void request_run::handle_lost_connection() {
    if (!m_fate_requests.record_lost_connection(steady_clock::now())) {
        throw request_error(error_kind::outcome_unknown);
    }
}

/// Sends an attach message again if a request for the fate is due. It goes to the sidecar's latest known
/// address, since the sidecar may have been restarted at another address.
void request_run::request_fate_again() {
    if (!m_fate_requests.next_request_time()) {
        return;
    }
    m_fate_requests.record_request();
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
