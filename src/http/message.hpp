// HTTP requests and responses as plain structs, so that other code doesn't depend on the HTTP library.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::http {

struct header_field {
    std::string name;
    std::string value;
};

using header_fields = std::vector<header_field>;

/// The value of the first header field with this name, ignoring case; std::nullopt when there is none.
[[nodiscard]] std::optional<std::string_view> find_header(const header_fields& headers,
                                                          std::string_view name);

struct request {
    std::string method = "GET";
    std::string target = "/";
    header_fields headers;
    std::string body;
};

struct response_head {
    unsigned status = 200;
    header_fields headers;
};

struct response {
    response_head head;
    std::string body;
};

/// Returns a response with this status, body and Content-Type.
[[nodiscard]] response make_response(unsigned status, std::string_view content_type, std::string body);

/// Formats a duration in seconds with three decimals, such as "1.250", for the Retry-After header.
[[nodiscard]] std::string to_seconds_text(std::chrono::milliseconds span);

/// The path of a request target: the text before "?".
[[nodiscard]] std::string_view path_of(std::string_view target);

/// The percent-decoded value of the first query parameter with this name; std::nullopt when there is none or
/// when the target is malformed.
[[nodiscard]] std::optional<std::string> query_value(std::string_view target, std::string_view name);

} // namespace borageford::http
