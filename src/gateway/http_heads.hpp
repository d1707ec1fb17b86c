// Composes the HTTP heads that a gateway sends: the head of a request for a backend server, and the fields of
// a response for the caller.
#pragma once

#include "gateway/admitted_request.hpp"
#include "http/field_list.hpp"
#include "http/request_reader.hpp"
#include "routing/header_names.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Appends "NAME: VALUE" and a line end.
void append_field(std::string& head, std::string_view name, std::string_view value);

/// Composes the request line and the fields for a backend server, with the empty line at the end. The
/// caller's fields are copied, except hop-by-hop fields, the API key and the fields that only the system
/// sets. The time left, the server's id and the workspace's name are added. `last_event` is the id after
/// which a stream is to continue at another server.
[[nodiscard]] std::string compose_request_head(const http::received_request& request,
                                               const admitted_request& admitted,
                                               const routing::header_names& names, std::string_view server_id,
                                               const std::optional<std::string>& last_event);

/// Returns a response's fields as header lines, without hop-by-hop fields.
[[nodiscard]] std::string compose_passed_fields(const http::field_list& fields);

} // namespace borageford::gateway
