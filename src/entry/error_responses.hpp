// Builds error responses for callers: HTTP status, headers and a JSON body in the format that common client
// libraries for completions understand.
#pragma once

#include "base/identifier.hpp"
#include "base/request_error.hpp"
#include "http/message.hpp"

#include <string>

namespace borageford::entry {

/// The complete HTTP response to a request that ended with this error.
[[nodiscard]] http::response error_response(const request_error& error, const request_id& id);

/// The error as a server-sent event. It is written as the last event of a streamed answer that failed after
/// its HTTP status had been sent.
[[nodiscard]] std::string error_event(const request_error& error, const request_id& id);

} // namespace borageford::entry
