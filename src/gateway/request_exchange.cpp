// Implementation of the request exchange, except for how it gets its slots (request_exchange_slots.cpp); the
// functions are in the order in which a request passes through them.
#include "gateway/request_exchange.hpp"

#include "base/request_error.hpp"
#include "gateway/answer_reader.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http_heads.hpp"
#include "gateway/rate_limit_reader.hpp"
#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace borageford::gateway {

namespace {

/// Subtracted from a request's remaining time when deciding on a retry, so that the answer still reaches the
/// caller before its deadline.
constexpr milliseconds answer_margin{30};
/// Retry-After of requests refused because this process is shutting down. It is short because another gateway
/// can accept the request at once.
constexpr milliseconds shutdown_retry_after{100};
/// For answers where memory is bounded, since what the kernel has received counts as well. The servers are
/// near: at a round trip of a few milliseconds, some megabytes a second still arrive.
constexpr int small_receive_buffer = 32 * 1024;
/// The reason in the log of an answer that was aborted since its caller read it too slowly.
constexpr std::string_view slow_caller_reason = "the caller reads too slowly";
/// Longest event of a stream in bytes. It is far longer than usual events, and keeps one that has no end from
/// exhausting the memory.
constexpr std::size_t max_event_bytes = 4U * 1024 * 1024;
/// Bytes of an answer that are collected when there is no limit on memory.
constexpr std::size_t max_collected_bytes = 16U * 1024 * 1024;
/// How much of an answer is read of which only the head is of use.
constexpr std::size_t max_unused_bytes = 64U * 1024;
constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned misdirected = 421;
constexpr unsigned first_server_error = 500;
constexpr milliseconds configuration_check_period{10};
/// A server that has sent events for this long runs the request without crashing.
constexpr milliseconds harmless_after{300};
/// Refused requests are told to retry after a time in this range. It depends on the request, so that requests
/// refused together don't all return at once.
constexpr milliseconds min_retry_after{300};
constexpr milliseconds max_retry_after{1000};

milliseconds choose_retry_after(std::uint64_t fingerprint) {
    const auto range = static_cast<std::uint64_t>((max_retry_after - min_retry_after).count());
    return min_retry_after + milliseconds(fingerprint % range);
}

/// Statuses, besides `misdirected`, that tell a caller that its request hasn't run and never will.
constexpr std::array not_run_statuses{408U, 429U, 503U};

bool is_success(unsigned status) {
    return status >= first_success && status < first_redirect;
}

} // namespace

request_exchange::request_exchange(gateway_context& context, std::shared_ptr<client_session> session,
                                   http::received_request request, clock::time_point arrived)
    : m_context(context),
      m_session(std::move(session)),
      m_journal(context),
      m_quarantine(context.slots.crashes()),
      m_request(std::move(request)),
      m_arrived(arrived) {
    ++m_context.requests_in_progress;
}

request_exchange::~request_exchange() {
    --m_context.requests_in_progress;
}

void request_exchange::start() {
    const bool has_configuration = *m_context.configuration.read() != nullptr;
    if (!has_configuration && clock::now() - m_arrived < m_context.settings.configuration_patience) {
        const std::weak_ptr<request_exchange> weak = weak_from_this();
        m_timer = m_context.timers.after(m_context.executor, configuration_check_period, [weak] {
            const auto self = weak.lock();
            if (self != nullptr && !self->m_is_over) {
                self->start();
            }
        });
        return;
    }
    begin();
}

void request_exchange::begin() {
    try {
        m_admitted = admit(m_context, m_request, m_arrived);
    } catch (const request_error& error) {
        answer_error(error.kind(), error.what(), error.retry_after());
        return;
    }
    m_is_admitted = true;
    if (!has_time_to_finish()) {
        answer_error(error_kind::draining, "this process is stopping", shutdown_retry_after);
        return;
    }
    m_attempts = policy::attempt_rule(m_admitted.route->may_repeat(), m_admitted.route->attempts);
    const std::weak_ptr<request_exchange> weak = weak_from_this();
    m_timer = m_context.timers.after(m_context.executor, m_admitted.time_left(), [weak] {
        if (const auto self = weak.lock()) {
            self->handle_timeout();
        }
    });
    if (m_admitted.route->kind == routing::route_kind::stream) {
        m_software.read(m_request.fields, m_context.fields, m_admitted);
    }
    if (m_software.is_resume() && m_admitted.route->may_repeat()) {
        find_origin();
    } else {
        request_slot();
    }
}

/// Finds out which software version began the stream that the caller resumes. It may take some milliseconds,
/// in which the request holds nothing.
void request_exchange::find_origin() {
    const std::weak_ptr<request_exchange> weak = weak_from_this();
    m_context.slots.streams().find(
        m_software.stream(),
        [weak](const coordination::found_origin& found) {
            const auto self = weak.lock();
            if (self != nullptr && !self->m_is_over) {
                self->handle_origin(found);
            }
        },
        clock::now());
}

void request_exchange::handle_origin(const coordination::found_origin& found) {
    m_origin_source = found.source;
    if (found.source == coordination::origin_source::unknown) {
        end_without_answer(error_kind::stream_unknown,
                           "it isn't known here which software version began the stream",
                           choose_retry_after(m_admitted.fingerprint));
        return;
    }
    if (!m_admitted.choose_service(found.service)) {
        end_without_answer(error_kind::no_backend_server,
                           "its route no longer leads to the service that began the stream",
                           choose_retry_after(m_admitted.fingerprint));
        return;
    }
    m_software.require(found.service, found.software);
    request_slot();
}

/// Returns whether the request is certain to be answered, or to have passed its deadline, before this process
/// exits. A request with a later deadline is refused, since telling its caller to go elsewhere is better than
/// truncating its stream later. Refusing every request instead left callers without a gateway for two
/// seconds: when all gateways are restarted in turn, each may still be finishing long streams when the last
/// one is told to stop.
bool request_exchange::has_time_to_finish() const {
    if (!m_context.is_stopping() || clock::now() <= m_context.stopping->accepts_all_until) {
        return true;
    }
    return m_admitted.deadline <= m_context.stopping->ends_at;
}

// Calling a backend server.

void request_exchange::send_to(std::shared_ptr<backend> server) {
    backend_request request;
    request.head = compose_request_head(m_request, m_admitted, m_context.fields, server->record().id,
                                        m_has_begun_stream ? m_events.last_id() : std::nullopt);
    request.body = m_request.body;
    request.request_id = m_admitted.id;
    request.request_id_name = m_context.fields.request_id;
    request.is_head_method = m_request.method == "HEAD";
    request.is_retryable = m_admitted.route->may_repeat();
    request.receive_buffer = m_context.unread.is_bounded() ? small_receive_buffer : 0;
    request.may_be_sent = [this] {
        return !m_quarantine.holds(m_admitted);
    };
    const auto self = shared_from_this();
    m_call = std::make_shared<backend_call>(
        m_context.executor, std::move(server), std::move(request),
        backend_call::handlers{[self] { self->handle_head(); },
                               [self](std::string_view bytes) { self->handle_body(bytes); },
                               [self] { self->handle_complete(); },
                               [self](call_failure what, std::string_view reason) {
                                   self->handle_failure(what, reason);
                               }});
    m_call->start();
}

void request_exchange::handle_head() {
    const auto& response = m_call->response();
    const auto& signature = m_context.fields.signature;
    if (is_success(response.status()) && !response.fields().find(signature).has_value()) {
        break_off(policy::slot_outcome::broken, "a success without the server's signature");
        return;
    }
    if (response.status() != misdirected) {
        m_context.crashes.record_alive(*m_call->server(), m_call->opened_at());
        m_context.answers.read(*m_call->server(), response, m_admitted.id);
        m_context.rate_limits.read_answer(m_call->server()->record(), response.fields(), m_admitted.id,
                                          m_slot_begin);
    }
    m_forwards_events =
        m_admitted.route->kind == routing::route_kind::stream && is_success(response.status());
    m_answer.clear();
    m_passes_on = false;
}

void request_exchange::handle_body(std::string_view bytes) {
    if (m_forwards_events) {
        handle_events(bytes);
    } else {
        collect(bytes);
    }
}

/// Collects an answer, so that it can be replaced by another server's. One that is larger than there is
/// memory for is forwarded as it arrives.
void request_exchange::collect(std::string_view bytes) {
    if (m_passes_on) {
        send_to_caller(bytes);
        return;
    }
    m_answer.append(bytes);
    if (m_has_begun_stream || is_unfounded_refusal()) {
        end_unused_answer();
        return;
    }
    if (has_room_to_collect()) {
        return;
    }
    m_passes_on = true;
    begin_stream();
    const auto collected = std::exchange(m_answer, {});
    send_to_caller(collected);
}

bool request_exchange::has_room_to_collect() {
    if (!m_context.unread.is_bounded()) {
        return m_answer.size() <= max_collected_bytes;
    }
    m_session->update_held();
    return m_session->account().has_room_to_collect();
}

/// Stops reading an answer that reaches no caller. Its body is of no use and may have no end.
void request_exchange::end_unused_answer() {
    if (m_answer.size() > max_unused_bytes) {
        m_call->cancel();
        handle_complete_answer();
    }
}

/// Whether more of the present event may be held.
bool request_exchange::has_room_for_event() {
    const auto held = m_events.held_bytes();
    if (held == 0) {
        return true;
    }
    if (!m_context.unread.is_bounded()) {
        return held <= max_event_bytes;
    }
    m_session->update_held();
    return held <= std::min(max_event_bytes, m_context.unread.share());
}

/// Pauses the server's answer when the caller has read too little of it.
void request_exchange::send_to_caller(std::string_view bytes) {
    m_session->send_chunk(bytes);
    if (!m_session->account().has_room() && m_call != nullptr && !m_call->is_paused()) {
        m_call->pause();
        m_context.metrics.count_paused_call();
    }
}

void request_exchange::handle_events(std::string_view bytes) {
    if (m_first_event == policy::duration{} && !m_software.fits(*m_call)) {
        break_off(policy::slot_outcome::abandoned,
                  "its software version isn't the one that began the stream");
        return;
    }
    std::string_view complete_events;
    try {
        complete_events = m_events.add(bytes);
    } catch (const http::response_error& error) {
        break_off(policy::slot_outcome::broken, error.what());
        return;
    }
    if (!has_room_for_event()) {
        break_off(policy::slot_outcome::broken, "an event is too long");
        return;
    }
    if (complete_events.empty()) {
        return;
    }
    record_event_time();
    if (m_first_event == policy::duration{}) {
        handle_first_event();
    } else if (!m_has_proved_harmless && !is_suspect()) {
        record_answer();
    }
    begin_stream();
    send_to_caller(complete_events);
}

/// Notes which software version the stream begins or goes on at.
void request_exchange::handle_first_event() {
    m_software.handle_first_event(*m_call);
    m_first_event = clock::now() - m_slot_begin;
    m_journal.first_event(m_admitted);
    if (m_admitted.route->may_repeat()) {
        const bool is_split = m_admitted.route->services.size() > 1;
        m_context.slots.streams().note(m_software.origin(clock::now()), is_split, clock::now());
    }
    if (m_has_begun_stream || m_origin_source.has_value()) {
        const auto known_by = m_has_begun_stream ? "answer" : to_string(*m_origin_source);
        const auto& server = m_call->server()->record();
        m_journal.resumed(m_admitted, {server.id, server.version}, known_by, m_events_before);
    }
}

/// Records the time to the first event and the longest pause between events. Both are written to the log,
/// since they are what the caller experiences.
void request_exchange::record_event_time() {
    const auto now = clock::now();
    if (!m_has_begun_stream) {
        m_to_first = now - m_admitted.arrived;
    } else {
        m_longest_pause = std::max(m_longest_pause, now - m_last_event);
    }
    m_last_event = now;
}

request_journal::answer_times request_exchange::answer_times() const {
    return {m_waited, m_first_event, m_to_first, m_longest_pause, m_events.count()};
}

void request_exchange::begin_stream() {
    if (m_has_begun_stream) {
        return;
    }
    m_has_begun_stream = true;
    const auto& response = m_call->response();
    m_session->begin_stream(response.status(), response.reason(), compose_passed_fields(response.fields()));
}

void request_exchange::handle_sent() {
    if (!m_session->account().may_resume()) {
        return;
    }
    if (m_call != nullptr) {
        m_call->resume();
    } else if (m_unread_reason.has_value()) {
        continue_unread();
    }
}

bool request_exchange::check_reading() {
    if (m_call == nullptr) {
        return false;
    }
    m_call->check_paused();
    return keeps_server_waiting() && m_call->paused_time() > m_context.unread.limits().pause;
}

void request_exchange::abort_slow() {
    if (!m_has_begun_stream) {
        m_session->abort_answer(); // what the caller doesn't read belongs to an earlier answer
        return;
    }
    if (m_call != nullptr) {
        m_call->cancel();
        m_call.reset(); // keeps cancel() from taking the end for a sign of the server
        m_attempts.record(m_slot, policy::attempt_outcome::may_have_run);
    }
    end_without_answer(error_kind::outcome_unknown, slow_caller_reason);
}

std::size_t request_exchange::held_bytes() const {
    return m_request.body.size() + m_answer.size() + m_events.held_bytes() +
           (m_call != nullptr ? m_call->held_bytes() : 0);
}

/// The server has ended an answer that the caller didn't read. Another server would have to wait for the
/// caller as well, so a stream goes on only when the caller reads again.
void request_exchange::handle_unread(std::string_view reason) {
    m_attempts.avoid(m_slot);
    m_unread_reason = reason;
    if (m_session->account().may_resume()) {
        continue_unread();
        return;
    }
    m_software.handle_break(*m_call);
    release_slot(policy::slot_outcome::abandoned);
    m_call.reset();
}

void request_exchange::continue_unread() {
    const auto reason = *std::exchange(m_unread_reason, std::nullopt);
    fail_attempt(policy::attempt_outcome::may_have_run, policy::slot_outcome::abandoned, reason);
}

/// The last bytes of an answer that was forwarded as it arrived.
void request_exchange::handle_complete_passed_on() {
    const auto status = m_call->response().status();
    record_answer();
    release_slot(status >= first_server_error ? policy::slot_outcome::failed : policy::slot_outcome::served);
    m_to_first = clock::now() - m_admitted.arrived;
    m_journal.answered(m_admitted, m_server_id, status, m_attempts.attempt_count() + 1, answer_times());
    m_session->finish_stream();
    end();
}

void request_exchange::handle_complete() {
    if (m_passes_on) {
        handle_complete_passed_on();
        return;
    }
    if (!m_forwards_events) {
        handle_complete_answer();
        return;
    }
    if (!m_events.is_complete()) {
        fail_attempt(policy::attempt_outcome::may_have_run, policy::slot_outcome::broken,
                     "a stream without its last event");
        return;
    }
    record_answer();
    release_slot(policy::slot_outcome::served);
    m_journal.answered(m_admitted, m_server_id, m_call->response().status(), m_attempts.attempt_count() + 1,
                       answer_times());
    m_session->finish_stream();
    end();
}

/// Whether the answer's status tells the caller that the request hasn't run, while the server doesn't state
/// that. A caller that relies on it sends the request again, and the request may run twice.
bool request_exchange::is_unfounded_refusal() const {
    const auto& response = m_call->response();
    return std::ranges::find(not_run_statuses, response.status()) != not_run_statuses.end() &&
           !response.fields().find(m_context.fields.not_executed).has_value();
}

void request_exchange::handle_complete_answer() {
    const auto& response = m_call->response();
    if (response.status() == misdirected) {
        m_context.crashes.record_crash(*m_call->server());
        fail_attempt(policy::attempt_outcome::not_executed, policy::slot_outcome::replaced,
                     "another server answers at its address");
        return;
    }
    if (response.fields().find(m_context.fields.not_executed).has_value()) {
        fail_attempt(policy::attempt_outcome::not_executed, policy::slot_outcome::refused,
                     "the server refused it");
        return;
    }
    if (m_has_begun_stream) {
        fail_attempt(policy::attempt_outcome::may_have_run, policy::slot_outcome::failed,
                     "the stream can't go on there");
        return;
    }
    record_answer();
    const bool has_failed = response.status() >= first_server_error;
    if (is_unfounded_refusal()) {
        fail_attempt(policy::attempt_outcome::may_have_run,
                     has_failed ? policy::slot_outcome::failed : policy::slot_outcome::served,
                     "status " + std::to_string(response.status()) +
                         " without a statement that it hasn't run");
        return;
    }
    const auto tries = m_attempts.attempt_count() + 1;
    if (has_failed) {
        const auto busy = clock::now() - m_slot_begin;
        m_attempts.record(m_slot, policy::attempt_outcome::may_have_run);
        release_slot(policy::slot_outcome::failed);
        const bool will_retry = may_retry();
        m_journal.attempt_failed(m_admitted, m_server_id,
                                 {policy::slot_outcome::failed, "status " + std::to_string(response.status()),
                                  busy, m_call->sent_before()},
                                 m_attempts, will_retry);
        if (will_retry) {
            m_call.reset();
            request_slot();
            return;
        }
    }
    release_slot(policy::slot_outcome::served);
    m_to_first = clock::now() - m_admitted.arrived;
    m_journal.answered(m_admitted, m_server_id, response.status(), tries, answer_times());
    m_session->answer(response.status(), response.reason(), compose_passed_fields(response.fields()),
                      m_answer);
    end();
}

void request_exchange::handle_failure(call_failure what, std::string_view reason) {
    if (what == call_failure::unread) {
        handle_unread(reason);
    } else if (what == call_failure::withdrawn) {
        return_slot(reason);
    } else if (what == call_failure::unreachable || what == call_failure::refused) {
        if (what == call_failure::refused) {
            m_context.crashes.record_crash(*m_call->server());
        }
        fail_attempt(policy::attempt_outcome::unreachable, policy::slot_outcome::unreachable, reason);
    } else {
        fail_attempt(policy::attempt_outcome::may_have_run, policy::slot_outcome::broken, reason);
    }
}

/// Ends the call to a server that has begun to answer, with an answer that can't be used.
void request_exchange::break_off(policy::slot_outcome slot, std::string_view reason) {
    m_call->cancel();
    fail_attempt(policy::attempt_outcome::may_have_run, slot, reason);
}

void request_exchange::fail_attempt(policy::attempt_outcome outcome, policy::slot_outcome slot,
                                    std::string_view reason) {
    m_broke_off = clock::now();
    request_journal::failed_attempt failed{slot, std::string(reason), m_broke_off - m_slot_begin};
    failed.sent_before = m_call != nullptr ? m_call->sent_before() : std::nullopt;
    // The slot scheduler refunds the quota of a request that didn't run when its slot is released.
    m_is_charged = outcome == policy::attempt_outcome::may_have_run;
    m_attempts.record(m_slot, outcome);
    if (m_call != nullptr && m_first_event != policy::duration{}) {
        m_software.handle_break(*m_call);
    }
    const bool may_have_crashed_it = slot == policy::slot_outcome::broken && is_suspect();
    const auto server = m_call != nullptr ? m_call->server() : nullptr;
    release_slot(slot);
    m_call.reset();
    m_events.handle_broken_connection(); // also before the first event: a part of one may have arrived
    if (!may_have_crashed_it || server == nullptr) {
        continue_after(failed);
        return;
    }
    const auto self = shared_from_this();
    record_broken(server, [self, failed] {
        if (!self->m_is_over) {
            self->continue_after(failed);
        }
    });
}

/// Sends the request to another server after a failed attempt, or gives it up.
void request_exchange::continue_after(const request_journal::failed_attempt& failed) {
    const bool will_retry = may_retry();
    m_journal.attempt_failed(m_admitted, m_server_id, failed, m_attempts, will_retry);
    if (will_retry) {
        request_slot();
    } else {
        end_without_answer(error_kind::overloaded, failed.reason, choose_retry_after(m_admitted.fingerprint));
    }
}

/// Whether the server may crash because of the request, for all that is known: it hasn't been answered yet,
/// or only just begun to be.
bool request_exchange::is_suspect() const {
    return m_first_event == policy::duration{} ||
           clock::now() - m_slot_begin - m_first_event < harmless_after;
}

void request_exchange::record_broken(const std::shared_ptr<backend>& server,
                                     std::function<void()> on_checked) {
    m_context.crashes.record_broken(server, m_admitted.suspects(), std::move(on_checked));
}

void request_exchange::record_abandoned() {
    if (m_call->has_been_sent() && is_suspect()) {
        m_context.crashes.record_abandoned(m_call->server(), m_admitted.suspects(), m_slot_begin);
    }
}

/// The server has answered the request, or has gone on answering it for a while. If the answer ended with its
/// connection, the server may have crashed as well.
void request_exchange::record_answer() {
    const bool may_have_crashed = m_call->response().ends_with_connection() && is_suspect();
    if (may_have_crashed) {
        record_broken(m_call->server(), [] {});
        return;
    }
    m_has_proved_harmless = true;
    m_context.slots.observe_answer(m_admitted.suspects());
}

/// Returns whether the request may be sent to another server. A stream of which the caller already has a part
/// can only continue if its last event has an id, from which the next server resumes, and if it is certain
/// which software version began it.
bool request_exchange::may_retry() const {
    const bool can_go_on = !m_has_begun_stream || (m_events.last_id().has_value() && m_software.can_go_on());
    return can_go_on && m_attempts.may_retry() && m_admitted.time_left() > answer_margin;
}

// Answering the caller.

/// Whether the server has begun an answer that isn't a stream and hasn't ended it, although nobody kept it
/// waiting.
bool request_exchange::is_answer_without_end() const {
    return m_call->has_head() && !m_forwards_events && m_call->paused_time() == clock::duration::zero();
}

void request_exchange::handle_timeout() {
    const bool is_running = m_call != nullptr;
    const bool has_no_end = is_running && is_answer_without_end();
    if (is_running) {
        record_abandoned();
        m_call->cancel();
        m_attempts.record(m_slot, policy::attempt_outcome::may_have_run);
    }
    release_slot(has_no_end ? policy::slot_outcome::broken : policy::slot_outcome::abandoned);
    end_without_answer(is_running ? error_kind::backend_stalled : error_kind::deadline_unreachable,
                       is_running ? "its time is over while a server works on it" : "its time is over");
}

/// Answers a request that no backend server has answered. An error that promises "not run" is only sent when
/// that is certain. A stream that has begun is aborted, so that the caller can't mistake its part for a
/// complete answer.
void request_exchange::end_without_answer(error_kind kind, std::string_view reason,
                                          std::optional<milliseconds> retry_after) {
    release_slot(policy::slot_outcome::abandoned);
    if (m_has_begun_stream) {
        m_journal.aborted(m_admitted, reason, m_attempts.attempt_count(), m_events.count());
        m_is_over = true; // keeps cancel(), which abort_answer() calls, from logging the request once more
        m_session->abort_answer();
        end();
        return;
    }
    const bool is_refusal = answer_for(kind).ran == run_state::no;
    if (is_refusal && m_attempts.may_have_run()) {
        answer_error(error_kind::outcome_unknown, reason, std::nullopt);
    } else {
        answer_error(kind, reason, retry_after);
    }
}

void request_exchange::answer_error(error_kind kind, std::string_view reason,
                                    std::optional<milliseconds> retry_after) {
    const auto& row = answer_for(kind);
    const auto id = m_request.fields.find(m_context.fields.request_id).value_or("");
    m_journal.refused(m_is_admitted ? &m_admitted : nullptr,
                      {kind, id, reason, m_request.fields.find("Host").value_or(""), m_request.target,
                       m_ticket, m_attempts.attempt_count(), m_arrived, retry_after});
    std::string fields;
    if (!id.empty()) {
        append_field(fields, m_context.fields.request_id, id);
    }
    append_field(fields, "Content-Type", "application/json");
    if (retry_after.has_value()) {
        append_field(fields, "Retry-After", http::to_seconds_text(*retry_after));
    }
    const std::string body = R"({"error":")" + std::string(row.name) + R"("})";
    m_session->answer(row.http_status, row.name, fields, body);
    end();
}

void request_exchange::cancel() {
    const auto self = shared_from_this();
    if (!m_is_over && m_is_admitted) {
        m_journal.abandoned(m_admitted, m_call != nullptr ? "running" : "waiting", m_server_id,
                            m_events.count());
    }
    if (m_call != nullptr) {
        record_abandoned();
        m_call->cancel();
    }
    end();
}

void request_exchange::end() {
    m_is_over = true;
    m_timer.cancel();
    m_registration_timer.cancel();
    release_slot(policy::slot_outcome::abandoned);
    m_call.reset();
}

} // namespace borageford::gateway
