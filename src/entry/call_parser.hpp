// Parses a caller's HTTP request into a call, or throws the error with which the request is refused.
#pragma once

#include "entry/call.hpp"
#include "http/message.hpp"

#include <chrono>
#include <memory>

namespace borageford::entry {

/// Names of HTTP headers: callers may send the first four with a request, and every answer to a call has the
/// last one.
inline constexpr std::string_view tier_header = "X-Tier";
inline constexpr std::string_view deadline_header = "X-Deadline";
inline constexpr std::string_view idempotent_header = "X-Idempotent";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view request_id_header = "X-Request-Id";

/// Finds the workspace whose API key the request has in its header "Authorization: Bearer KEY".
/// Throws request_error(no_configuration) while no configuration is known, and request_error(unauthorized)
/// when the key is missing or unknown.
[[nodiscard]] const configuration::workspace& find_workspace(const configuration::configuration& current,
                                                             const http::request& received);

/// Parses and authorizes a request. `default_deadline` is the time to its start when the caller sends no
/// deadline. Throws request_error for an invalid or forbidden request; nothing has run in that case.
[[nodiscard]] call parse_call(const request_id& id,
                              std::shared_ptr<const configuration::configuration> current,
                              const http::request& received, std::chrono::milliseconds default_deadline);

/// Looks up the call's workspace, tier and route again in a newer configuration.
/// Throws request_error when that configuration no longer allows the call.
void update_call(call& request, std::shared_ptr<const configuration::configuration> current);

} // namespace borageford::entry
