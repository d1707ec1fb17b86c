// Reads one HTTP/1.1 request from bytes as they arrive, strictly: what two parsers could read in two ways is
// refused, so that nothing can be hidden inside another request.
#pragma once

#include "http/field_list.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::http {

struct request_limits {
    std::size_t header_bytes = 16U * 1024;
    std::size_t body_bytes = 4U * 1024 * 1024;
};

/// A request as it came, its body without transfer coding.
struct received_request {
    std::string method;
    std::string target;
    field_list fields;
    std::string body;
    bool keeps_connection = true;
};

class request_reader {
public:
    explicit request_reader(request_limits limits);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader(request_reader&&) noexcept;
    request_reader& operator=(request_reader&&) noexcept;

    /// Reads from the front of the bytes; returns how many were used. Throws request_error with bad_request,
    /// headers_too_large or body_too_large; the reader is of no more use then.
    std::size_t read(std::string_view bytes);

    [[nodiscard]] bool has_head() const noexcept;
    [[nodiscard]] bool is_complete() const noexcept;
    /// True when the client waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const noexcept;
    /// Bytes of the body still to come, as far as its length was told; for the size of the next read.
    [[nodiscard]] std::size_t missing_bytes() const noexcept;

    [[nodiscard]] received_request& message() noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace borageford::http
