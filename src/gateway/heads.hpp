// The heads that a gateway writes: a request's for its backend server, and a response's fields for its
// caller.
#pragma once

#include "gateway/admitted_request.hpp"
#include "http/field_list.hpp"
#include "http/request_reader.hpp"
#include "routing/call_fields.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Adds "NAME: VALUE" and the end of the line.
void append_field(std::string& head, std::string_view name, std::string_view value);

/// The caller's fields pass unchanged, except those of one connection, its key, and those that only the
/// system sets; the time left, the server's id and the workspace are the system's. `last_event` is set when a
/// stream goes on at another server. Ends with the empty line.
[[nodiscard]] std::string compose_request_head(const http::received_request& request,
                                               const admitted_request& admitted,
                                               const routing::call_fields& names, std::string_view server_id,
                                               const std::optional<std::string>& last_event);

/// A response's fields as lines, without those of one connection.
[[nodiscard]] std::string compose_passed_fields(const http::field_list& fields);

} // namespace borageford::gateway
