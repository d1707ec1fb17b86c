// Implementation of request_journal.
#include "gateway/request_journal.hpp"

#include "events/event_log.hpp"
#include "gateway/gateway_metrics.hpp"

#include <string>

namespace borageford::gateway {

using events::event_kind;

namespace {

std::int64_t to_ms(std::chrono::steady_clock::duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int64_t age_ms(const admitted_request& request) {
    return to_ms(std::chrono::steady_clock::now() - request.arrived);
}

std::string_view workspace_of(const admitted_request* request) {
    const bool is_known = request != nullptr && request->workspace != nullptr;
    return is_known ? std::string_view(request->workspace->name) : std::string_view();
}

std::string_view route_of(const admitted_request* request) {
    return request != nullptr && request->route != nullptr ? std::string_view(request->route->name)
                                                           : std::string_view();
}

/// -1: the request wasn't sent.
std::int64_t sent_before(const request_journal::failed_attempt& attempt) {
    return attempt.sent_before.has_value() ? std::int64_t(*attempt.sent_before) : -1;
}

/// Limits the length of texts that callers choose.
std::string shorten(std::string_view text) {
    constexpr std::size_t longest = 120;
    return std::string(text.substr(0, longest));
}

} // namespace

std::uint64_t request_journal::version_for(const admitted_request* request) const {
    if (request != nullptr && request->configuration != nullptr) {
        return request->configuration->version();
    }
    const auto in_force = *m_context.configuration.read();
    return in_force != nullptr ? in_force->version() : 0;
}

void request_journal::placed(const admitted_request& request, const policy::slot_grant& grant,
                             const named_server& server, unsigned attempts_before) {
    m_context.metrics.record_wait(request, clock::now() - request.arrived);
    events::write(event_kind::request_placed, {{"request", request.id},
                                               {"ticket", grant.ticket},
                                               {"backend", server.id},
                                               {"software", server.software},
                                               {"route", route_of(&request)},
                                               {"workspace", workspace_of(&request)},
                                               {"tier", std::int64_t(request.tier)},
                                               {"prompt_tokens", request.cost.prompt},
                                               {"expected_tokens", request.cost.output},
                                               {"configuration", version_for(&request)},
                                               {"decided_by", to_string(m_context.slots.source())},
                                               {"waited_ms", age_ms(request)},
                                               {"try", std::uint64_t(attempts_before + 1)}});
}

void request_journal::resumed(const admitted_request& request, const named_server& server,
                              std::string_view known_by, std::uint64_t count) {
    m_context.metrics.count_resumed(request, known_by);
    events::write(event_kind::stream_resumed, {{"request", request.id},
                                               {"backend", server.id},
                                               {"software", server.software},
                                               {"known_by", known_by},
                                               {"events", count},
                                               {"total_ms", age_ms(request)}});
}

void request_journal::attempt_failed(const admitted_request& request, std::string_view backend,
                                     const failed_attempt& attempt, const policy::attempt_rule& attempts,
                                     bool will_retry) {
    m_context.metrics.count_attempt(request, attempt.outcome);
    events::write(event_kind::request_try_failed, {{"request", request.id},
                                                   {"backend", backend},
                                                   {"outcome", to_string(attempt.outcome)},
                                                   {"reason", attempt.reason},
                                                   {"try", std::uint64_t(attempts.attempt_count())},
                                                   {"runs", std::uint64_t(attempts.runs())},
                                                   {"next", will_retry ? "again" : "end"},
                                                   {"busy_ms", to_ms(attempt.busy)},
                                                   {"sent_before", sent_before(attempt)}});
}

void request_journal::first_event(const admitted_request& request) {
    m_context.metrics.record_first_event(request, clock::now() - request.arrived);
}

void request_journal::answered(const admitted_request& request, std::string_view backend, unsigned status,
                               unsigned attempts, const answer_times& times) {
    m_context.metrics.count_attempt(request, policy::slot_outcome::served);
    m_context.metrics.count_answered(request, status, clock::now() - request.arrived);
    events::write(event_kind::request_answered, {{"request", request.id},
                                                 {"status", std::uint64_t(status)},
                                                 {"backend", backend},
                                                 {"route", route_of(&request)},
                                                 {"workspace", workspace_of(&request)},
                                                 {"tries", std::uint64_t(attempts)},
                                                 {"waited_ms", to_ms(times.waited)},
                                                 {"first_ms", to_ms(times.first_event)},
                                                 {"to_first_ms", to_ms(times.to_first)},
                                                 {"target_ms", to_ms(request.route->latency_target)},
                                                 {"longest_pause_ms", to_ms(times.longest_pause)},
                                                 {"pause_target_ms", to_ms(request.route->pause_target)},
                                                 {"total_ms", age_ms(request)},
                                                 {"events", times.events},
                                                 {"framed", !times.ends_with_connection}});
}

void request_journal::refused(const admitted_request* request, const refusal& what) {
    m_context.metrics.count_refused(request, what.kind);
    const auto& row = answer_for(what.kind);
    const auto target = shorten(std::string(what.host) + std::string(what.target));
    events::write(event_kind::request_refused,
                  {{"request", what.request_id},
                   {"ticket", what.ticket},
                   {"error", row.name},
                   {"status", std::uint64_t(row.http_status)},
                   {"reason", what.reason},
                   {"target", target},
                   {"route", route_of(request)},
                   {"workspace", workspace_of(request)},
                   {"tier", std::int64_t(request != nullptr ? request->tier : -1)},
                   {"configuration", version_for(request)},
                   {"decided_by", to_string(m_context.slots.source())},
                   {"held_ms", to_ms(clock::now() - what.arrived)},
                   {"tries", std::uint64_t(what.attempts)},
                   {"retry_after_ms", std::int64_t(what.retry_after.value_or(milliseconds(0)).count())}});
}

void request_journal::aborted(const admitted_request& request, std::string_view reason, unsigned attempts,
                              std::uint64_t count) {
    m_context.metrics.count_aborted(request);
    events::write(event_kind::request_cut, {{"request", request.id},
                                            {"reason", reason},
                                            {"route", route_of(&request)},
                                            {"workspace", workspace_of(&request)},
                                            {"tries", std::uint64_t(attempts)},
                                            {"events", count},
                                            {"total_ms", age_ms(request)}});
}

void request_journal::abandoned(const admitted_request& request, std::string_view stage,
                                std::string_view backend, std::uint64_t count) {
    m_context.metrics.count_abandoned(request);
    events::write(event_kind::request_abandoned, {{"request", request.id},
                                                  {"stage", stage},
                                                  {"backend", backend},
                                                  {"total_ms", age_ms(request)},
                                                  {"events", count}});
}

} // namespace borageford::gateway
