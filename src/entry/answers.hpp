// Writes errors for callers: HTTP status, headers and a body that the usual client libraries understand.
#pragma once

#include "base/identifier.hpp"
#include "base/request_error.hpp"
#include "http/message.hpp"

#include <string>

namespace borageford::entry {

/// The whole answer to a request that ended with this error.
[[nodiscard]] http::response error_response(const request_error& error, const request_id& id);

/// The error as the last server-sent event of a stream that can't be finished.
[[nodiscard]] std::string error_event(const request_error& error, const request_id& id);

} // namespace borageford::entry
