// Implementation of the request exchange, except for how it gets its slots (request_exchange_slots.cpp) and
// reads its servers' answers (request_exchange_answers.cpp); the functions are in the order in which a
// request passes through them.
#include "gateway/request_exchange.hpp"

#include "base/request_error.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/http_heads.hpp"
#include "http/message.hpp"

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
    if (m_call->has_connection() && is_suspect()) {
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

void request_exchange::handle_stop() {
    if (m_is_over) {
        return;
    }
    const auto self = shared_from_this();
    if (m_call != nullptr) {
        const bool may_have_run = has_been_sent(); // also while the end of its answer is checked
        m_call->cancel();
        m_attempts.record(m_slot, may_have_run ? policy::attempt_outcome::may_have_run
                                               : policy::attempt_outcome::unreachable);
    }
    end_without_answer(error_kind::draining, "this process has stopped", shutdown_retry_after);
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
    m_liveness.reset();
}

} // namespace borageford::gateway
