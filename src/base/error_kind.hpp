// The closed list of the errors that a caller, an operator or a peer can be told, and the table from each
// kind to its answer. docs/ERRORS.md shows the same table; a test holds the two together.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace borageford {

/// Every way in which a request can end without its answer.
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

/// Whether the request had run when the error was answered.
enum class run_state : std::uint8_t { no, yes, unknown };

/// What a caller can usefully do next.
enum class retry_advice : std::uint8_t {
    do_not_retry,    ///< the same request will fail again
    retry_later,     ///< safe to send again after Retry-After
    retry_with_key,  ///< safe to send again only with the same Idempotency-Key
    ask_an_operator, ///< only a person can clear the cause
};

/// One row of the table from kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name; ///< machine-readable, stable
    unsigned http_status;
    run_state ran;
    retry_advice retry;
    std::string_view summary; ///< one sentence for people
};

/// The whole table, one row for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_answer> error_answers() noexcept;

/// The row of one kind.
[[nodiscard]] const error_answer& answer_for(error_kind kind) noexcept;

/// The kind with this name, or nothing.
[[nodiscard]] std::optional<error_kind> find_error_kind(std::string_view name) noexcept;

[[nodiscard]] std::string_view to_string(error_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(run_state state) noexcept;
[[nodiscard]] std::string_view to_string(retry_advice advice) noexcept;

} // namespace borageford
