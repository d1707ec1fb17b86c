// An incremental parser for one HTTP/1.1 response. It removes the chunked coding from the body.
#pragma once

#include "http/field_list.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace borageford::http {

/// Thrown for bytes that aren't an HTTP response and for a truncated response.
class response_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Reads one response, and passes over interim ones (1xx) before it; create a new reader for the next one.
class response_reader {
public:
    /// Whether the response has a body; `none` is for the response to a HEAD request.
    enum class body_rule { expected, none };

    explicit response_reader(body_rule rule);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    /// Parses bytes from the front of `bytes`, appends the body bytes among them to `body` and returns how
    /// many bytes it consumed; the others, of which there are at most 64 KiB, must be passed again with
    /// further ones. Throws response_error.
    std::size_t read(std::string_view bytes, std::string& body);

    /// Tells the reader that the server has closed its sending side in order. Throws response_error when the
    /// response is incomplete.
    void read_end();

    [[nodiscard]] bool has_head() const noexcept;
    [[nodiscard]] bool is_complete() const noexcept;
    /// Whether the body has neither a length nor chunks and ends when the server closes the connection.
    [[nodiscard]] bool ends_with_connection() const noexcept;
    /// Whether the server accepts further requests on the connection.
    [[nodiscard]] bool keeps_connection() const noexcept;
    /// The body's length in bytes from the head; std::nullopt when the head doesn't state it.
    [[nodiscard]] std::optional<std::size_t> content_length() const noexcept;

    [[nodiscard]] unsigned status() const noexcept;
    [[nodiscard]] std::string_view reason() const noexcept;
    [[nodiscard]] const field_list& fields() const noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// How long the server keeps an idle connection open according to its Keep-Alive header; std::nullopt when it
/// doesn't state this.
[[nodiscard]] std::optional<std::chrono::seconds> idle_time(const field_list& fields);

} // namespace borageford::http
