// An incremental parser for one HTTP/1.1 request. It refuses input that two parsers could interpret
// differently, so that a request can't be smuggled inside another one.
#pragma once

#include "http/field_list.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::http {

/// Largest accepted sizes of a request's head and body in bytes. The line that begins a chunk, with its
/// extensions, and all trailing fields together may be as long as a head each.
struct request_limits {
    std::size_t header_bytes = 16U * 1024;
    std::size_t body_bytes = 4U * 1024 * 1024;
};

/// A request as it was received; the chunked coding is removed from its body.
struct received_request {
    std::string method;
    std::string target;
    field_list fields;
    std::string body;
    bool keeps_connection = true; ///< whether the client wants to send further requests on the connection
};

/// Reads one request; create a new reader for the next one.
class request_reader {
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    /// Parses bytes from the front of `bytes` and returns how many it consumed. The caller passes the bytes
    /// that weren't consumed again, unchanged, together with newly received ones. Throws request_error with
    /// bad_request, headers_too_large or body_too_large; the reader must not be used after that.
    std::size_t read(std::string_view bytes);

    [[nodiscard]] bool has_head() const noexcept;
    [[nodiscard]] bool is_complete() const noexcept;
    /// Whether the client waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const noexcept;
    /// Length of the head in bytes; 0 until has_head().
    [[nodiscard]] std::size_t head_bytes() const noexcept;
    /// Memory that is held for what was consumed of the request, in bytes.
    [[nodiscard]] std::size_t held_bytes() const noexcept;

    /// The request; its head is valid once has_head(), its body once is_complete().
    [[nodiscard]] received_request& message() noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::http
