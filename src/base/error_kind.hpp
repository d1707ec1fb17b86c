// Lists every kind of error that can be sent to a caller, an operator or a peer, and maps each kind to its
// error response. docs/ERRORS.md documents the same table; tests/unit/test_error_page.cpp checks that both
// agree.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace borageford {

/// The reasons for which a request can fail.
enum class error_kind : std::uint8_t {
    bad_request,
    unauthorized,
    forbidden,
    not_found,
    unknown_model,
    unknown_service,
    method_not_allowed,
    request_timeout,
    body_too_large,
    prompt_too_large,
    headers_too_large,
    too_many_connections,
    idempotency_key_required,
    idempotency_key_reused,
    already_ran,
    rate_limited,
    concurrency_limited,
    overloaded,
    deadline_unreachable,
    no_backend_server,
    stream_unknown,
    no_configuration,
    draining,
    stale_revision,
    platform_unavailable,
    quarantined,
    held_back,
    outcome_unknown,
    backend_failed,
    backend_stalled,
    backend_garbled,
    cancelled,
    plan_conflict,
    plan_invalid,
    internal
};

/// Whether the request had been run by a backend server when the error response was sent.
enum class run_state : std::uint8_t { no, yes, unknown };

/// Tells the caller whether and how to retry the request.
enum class retry_advice : std::uint8_t {
    do_not_retry,    ///< the same request would fail again
    retry_later,     ///< safe to send again after the time in Retry-After
    retry_with_key,  ///< safe to send again only with the same Idempotency-Key
    ask_an_operator, ///< the request fails until an operator removes the cause
};

/// The error response for one error kind: a row of the table returned by error_answers().
struct error_answer {
    error_kind kind;
    std::string_view name; ///< identifies the kind in error responses; doesn't change between versions
    unsigned http_status;
    run_state ran;
    retry_advice retry;
    std::string_view summary; ///< human-readable description, one sentence
};

/// The whole table, one row for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_answer> error_answers() noexcept;

/// The error response for a kind; the one for error_kind::internal when the value is out of range.
[[nodiscard]] const error_answer& answer_for(error_kind kind) noexcept;

/// The kind with this name; std::nullopt when there is none.
[[nodiscard]] std::optional<error_kind> find_error_kind(std::string_view name) noexcept;

[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(run_state state) noexcept;
[[nodiscard]] std::string_view to_string(retry_advice advice) noexcept;

} // namespace borageford
