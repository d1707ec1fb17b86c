// Defines the table that maps each error kind to its HTTP status, retry advice and summary, and the look-ups
// in it.
#include "base/error_kind.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace borageford {
namespace {

using enum run_state;
using enum retry_advice;

constexpr std::array answers{
    error_answer{error_kind::bad_request, "bad_request", 400, no, do_not_retry, "The request is malformed."},
    error_answer{error_kind::unauthorized, "unauthorized", 401, no, do_not_retry,
                 "No workspace has this key."},
    error_answer{error_kind::forbidden, "forbidden", 403, no, do_not_retry,
                 "No route lets this workspace and tier use what it asks for."},
    error_answer{error_kind::not_found, "not_found", 404, no, do_not_retry, "There is nothing at this path."},
    error_answer{error_kind::unknown_model, "unknown_model", 404, no, do_not_retry,
                 "The configuration has no such model."},
    error_answer{error_kind::unknown_service, "unknown_service", 404, no, do_not_retry,
                 "The configuration has no such service."},
    error_answer{error_kind::method_not_allowed, "method_not_allowed", 405, no, do_not_retry,
                 "This path does not take this method."},
    error_answer{error_kind::request_timeout, "request_timeout", 408, no, retry_later,
                 "The request took too long to arrive."},
    error_answer{error_kind::body_too_large, "body_too_large", 413, no, do_not_retry,
                 "The request body is over the limit."},
    error_answer{error_kind::prompt_too_large, "prompt_too_large", 413, no, do_not_retry,
                 "The prompt has more tokens than fit into the memory of any engine of its route."},
    error_answer{error_kind::headers_too_large, "headers_too_large", 431, no, do_not_retry,
                 "The request headers are over the limit."},
    error_answer{error_kind::too_many_connections, "too_many_connections", 503, no, retry_later,
                 "This entry holds as many connections as it may."},
    error_answer{error_kind::idempotency_key_required, "idempotency_key_required", 400, no, do_not_retry,
                 "A call that is not idempotent needs an Idempotency-Key."},
    error_answer{error_kind::idempotency_key_reused, "idempotency_key_reused", 422, no, do_not_retry,
                 "This Idempotency-Key belongs to another request."},
    error_answer{error_kind::already_ran, "already_ran", 409, yes, do_not_retry,
                 "A call with this Idempotency-Key has run and its answer is no longer held."},
    error_answer{error_kind::rate_limited, "rate_limited", 429, no, retry_later,
                 "The workspace is over its rate."},
    error_answer{error_kind::concurrency_limited, "concurrency_limited", 429, no, retry_later,
                 "The workspace has as many requests in progress as it may."},
    error_answer{
        error_kind::overloaded, "overloaded", 503, no, retry_later,
        "Every eligible backend server is too busy for this tier, or the rate limits that the servers "
        "name leave no room."},
    error_answer{error_kind::deadline_unreachable, "deadline_unreachable", 503, no, retry_later,
                 "The deadline can no longer be met."},
    error_answer{error_kind::no_backend_server, "no_backend_server", 503, no, retry_later,
                 "No backend server for this is reachable."},
    error_answer{error_kind::stream_unknown, "stream_unknown", 503, no, retry_later,
                 "It is not known here which software version began the stream that the request resumes."},
    error_answer{error_kind::no_configuration, "no_configuration", 503, no, retry_later,
                 "This process has no configuration yet."},
    error_answer{error_kind::draining, "draining", 503, no, retry_later, "This process is shutting down."},
    error_answer{error_kind::stale_revision, "stale_revision", 503, no, retry_later,
                 "The decision was taken under a configuration that is no longer in force."},
    error_answer{error_kind::platform_unavailable, "platform_unavailable", 503, no, retry_later,
                 "The platform's table did not answer in time."},
    error_answer{error_kind::quarantined, "quarantined", 422, no, ask_an_operator,
                 "This request was running when several backend servers failed."},
    error_answer{error_kind::held_back, "held_back", 503, no, retry_later,
                 "Backend servers failed while they ran this request; it is held back for a while."},
    error_answer{error_kind::outcome_unknown, "outcome_unknown", 502, unknown, retry_with_key,
                 "The request was started and its fate cannot be learned; it may have run."},
    error_answer{error_kind::backend_failed, "backend_failed", 502, unknown, retry_with_key,
                 "The backend server failed while it ran the request."},
    error_answer{error_kind::backend_stalled, "backend_stalled", 504, yes, retry_with_key,
                 "The backend server stopped sending in the middle of the answer."},
    error_answer{error_kind::backend_garbled, "backend_garbled", 502, yes, retry_with_key,
                 "The backend server's answer was not what its protocol promises."},
    error_answer{error_kind::cancelled, "cancelled", 499, unknown, do_not_retry,
                 "The caller went away before the answer ended."},
    error_answer{error_kind::plan_conflict, "plan_conflict", 409, no, do_not_retry,
                 "Another revision was confirmed since this plan was made."},
    error_answer{error_kind::plan_invalid, "plan_invalid", 422, no, do_not_retry,
                 "The intent has errors; nothing was changed."},
    error_answer{error_kind::internal, "internal", 500, unknown, retry_with_key,
                 "A fault in this program; the request may have run."},
};

constexpr bool rows_follow_enumeration() {
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (answers[index].kind != static_cast<error_kind>(index)) {
            return false;
        }
    }
    return answers.back().kind == error_kind::internal;
}

static_assert(rows_follow_enumeration(), "the table must have one row for each kind, in order");

} // namespace

std::span<const error_answer> error_answers() noexcept {
    return answers;
}

const error_answer& answer_for(error_kind kind) noexcept {
    const auto index = static_cast<std::size_t>(kind);
    return index < answers.size() ? answers[index] : answers.back();
}

std::optional<error_kind> find_error_kind(std::string_view name) noexcept {
    const auto* row = std::ranges::find(answers, name, &error_answer::name);
    if (row == answers.end()) {
        return std::nullopt;
    }
    return row->kind;
}

std::string_view to_string(error_kind kind) noexcept {
    return answer_for(kind).name;
}

std::string_view to_string(run_state state) noexcept {
    switch (state) {
    case no:
        return "no";
    case yes:
        return "yes";
    case unknown:
        break;
    }
    return "unknown";
}

std::string_view to_string(retry_advice advice) noexcept {
    switch (advice) {
    case do_not_retry:
        return "do_not_retry";
    case retry_later:
        return "retry_later";
    case retry_with_key:
        return "retry_with_key";
    case ask_an_operator:
        break;
    }
    return "ask_an_operator";
}

} // namespace borageford
