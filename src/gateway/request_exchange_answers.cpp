// Implements how the request exchange reads the answers of backend servers: which it forwards as they arrive,
// which it collects, and which reach no caller.
#include "gateway/answer_reader.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http_heads.hpp"
#include "gateway/rate_limit_reader.hpp"
#include "gateway/request_exchange.hpp"
#include "routing/not_run_status.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace borageford::gateway {

namespace {

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

bool is_success(unsigned status) {
    return status >= first_success && status < first_redirect;
}

} // namespace

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
    m_liveness = response.ends_with_connection() ? m_context.crashes.watch(m_call->server()) : nullptr;
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
    return {m_waited,        m_first_event,    m_to_first,
            m_longest_pause, m_events.count(), m_call->response().ends_with_connection()};
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

/// An answer without a length ends with its connection. A server whose process was killed ends its
/// connections in the same way, so that its caller would take a part for the whole.
void request_exchange::handle_complete() {
    if (m_liveness == nullptr) {
        finish_answer();
        return;
    }
    const auto self = shared_from_this();
    m_context.crashes.check_alive(m_call->server(), m_liveness, [self, call = m_call](bool is_alive) {
        if (self->m_is_over || self->m_call != call) {
            return;
        }
        if (is_alive) {
            self->finish_answer();
        } else {
            self->fail_attempt(policy::attempt_outcome::may_have_run, policy::slot_outcome::broken,
                               "its server ended with the answer");
        }
    });
}

void request_exchange::finish_answer() {
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
/// that. 421 is such a statement by itself. A caller that relies on it sends the request again, and the
/// request may run twice.
bool request_exchange::is_unfounded_refusal() const {
    const auto& response = m_call->response();
    return routing::says_not_run(response.status()) && response.status() != misdirected &&
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

} // namespace borageford::gateway
