// Turns a caller's HTTP request into a call, or refuses it with a clear error.
#pragma once

#include "entry/call.hpp"
#include "http/message.hpp"

#include <chrono>
#include <memory>

namespace borageford::entry {

/// Names of the headers that callers may send and that answers carry.
inline constexpr std::string_view tier_header = "X-Tier";
inline constexpr std::string_view deadline_header = "X-Deadline";
inline constexpr std::string_view idempotent_header = "X-Idempotent";
inline constexpr std::string_view idempotency_key_header = "Idempotency-Key";
inline constexpr std::string_view request_id_header = "X-Request-Id";

/// The workspace whose key the request carries ("Authorization: Bearer KEY").
/// Throws request_error: no_configuration, unauthorized.
[[nodiscard]] const configuration::workspace& find_workspace(const configuration::configuration& current,
                                                             const http::request& received);

/// Throws request_error for everything that is wrong with the request; nothing has run then.
[[nodiscard]] call parse_call(const request_id& id,
                              std::shared_ptr<const configuration::configuration> current,
                              const http::request& received, std::chrono::milliseconds default_deadline);

/// Decides anew under a newer configuration which workspace, tier and route the call has.
/// Throws request_error when it may not run any more.
void renew_call(call& request, std::shared_ptr<const configuration::configuration> current);

} // namespace borageford::entry
