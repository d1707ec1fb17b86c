// Implements the parsing of requests that arrive piece by piece.
#include "http/arriving_request.hpp"

#include <utility>

namespace borageford::http {

namespace beast = boost::beast;

beast::error_code parse_buffered(beast::flat_buffer& buffer, request_parser& parser) {
    beast::error_code error;
    while (!error && buffer.size() > 0 && !parser.is_done()) {
        const auto used = parser.put(buffer.data(), error);
        buffer.consume(used);
    }
    return error == beast::http::error::need_more ? beast::error_code() : error;
}

std::optional<error_kind> error_kind_for(const beast::error_code& error) {
    // With buffer_overflow, the framing of a body has no end: a line that begins a chunk, or trailing fields.
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
        return error_kind::headers_too_large;
    }
    if (error == beast::http::error::body_limit) {
        return error_kind::body_too_large;
    }
    if (error == beast::http::error::end_of_stream || error == beast::http::error::partial_message ||
        error.category() != beast::http::make_error_code(beast::http::error::bad_method).category()) {
        return std::nullopt;
    }
    return error_kind::bad_request;
}

request from_library(beast::http::request<arriving_body>&& received) {
    request call;
    call.method = std::string(received.method_string());
    call.target = std::string(received.target());
    for (const auto& field : received) {
        call.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    call.body = std::move(received.body());
    return call;
}

} // namespace borageford::http
