// HTTP requests and responses as plain values, so that no other part sees the library behind them.
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

/// The first field of this name, compared without case; nothing when there is none.
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

/// A response with a body of this type.
[[nodiscard]] response make_response(unsigned status, std::string_view content_type, std::string body);

/// A duration as Retry-After has it, in seconds with a fraction.
[[nodiscard]] std::string to_seconds_text(std::chrono::milliseconds span);

/// The part of a target before "?".
[[nodiscard]] std::string_view path_of(std::string_view target);

/// The decoded value of a query parameter; nothing when it is absent.
[[nodiscard]] std::optional<std::string> query_value(std::string_view target, std::string_view name);

} // namespace borageford::http
