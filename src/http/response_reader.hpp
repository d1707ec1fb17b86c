// Reads one HTTP/1.1 response from bytes as they arrive, and hands its body on without transfer coding.
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

/// Bytes that are no response, or a response that ended before its time.
class response_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

class response_reader {
public:
    enum class body_rule { expected, none /**< the answer to a HEAD request */ };

    explicit response_reader(body_rule rule);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;
    response_reader(response_reader&&) noexcept;
    response_reader& operator=(response_reader&&) noexcept;

    /// Reads from the front of the bytes and appends what belongs to the body; returns how many bytes were
    /// used. Throws response_error.
    std::size_t read(std::string_view bytes, std::string& body);

    /// The server has ended its bytes in order. Throws response_error when the response isn't complete by it.
    void read_end();

    [[nodiscard]] bool has_head() const noexcept;
    [[nodiscard]] bool is_complete() const noexcept;
    /// The body has no length of its own and ends with the connection.
    [[nodiscard]] bool ends_with_connection() const noexcept;
    [[nodiscard]] bool keeps_connection() const noexcept;
    [[nodiscard]] std::optional<std::size_t> content_length() const noexcept;

    [[nodiscard]] unsigned status() const noexcept;
    [[nodiscard]] std::string_view reason() const noexcept;
    [[nodiscard]] const field_list& fields() const noexcept;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// How long the server keeps an idle connection, from a Keep-Alive field; nothing when it doesn't tell.
[[nodiscard]] std::optional<std::chrono::seconds> idle_time(const field_list& fields);

} // namespace borageford::http
