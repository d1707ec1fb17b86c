// The bytes of one answer that a backend server has sent so far. They are kept so that an entry process whose
// connection broke can read them again.
#pragma once

#include "backend/backend_types.hpp"
#include "base/error_kind.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::sidecar {

/// How an answer ended. `retry_after` is the delay suggested to the caller of a failed request.
struct answer_ending {
    std::optional<error_kind> failure; ///< std::nullopt when the answer is complete
    std::chrono::milliseconds retry_after{0};
    backend::usage usage;
};

/// The status line, body and ending of one answer. Invariant: no bytes are appended after end() was called.
class answer_buffer {
public:
    void set_head(backend::answer_head head) { m_head = std::move(head); }
    void append(std::string_view bytes);
    void end(answer_ending ending);

    [[nodiscard]] const std::optional<backend::answer_head>& head() const noexcept { return m_head; }
    [[nodiscard]] const std::optional<answer_ending>& ending() const noexcept { return m_ending; }
    [[nodiscard]] std::uint64_t length() const noexcept { return m_length; }
    /// Some of the bytes from `offset` on, in one piece; empty when `offset` is at or past the end. Valid
    /// until the next append().
    [[nodiscard]] std::string_view from(std::uint64_t offset) const noexcept;
    /// A copy of the whole body.
    [[nodiscard]] std::string body() const;

private:
    std::optional<backend::answer_head> m_head;
    /// The body in blocks, which are all full but for the last one. A long answer that grows in one block
    /// would be moved again and again, and leave memory behind that nothing else fits into.
    std::vector<std::string> m_blocks;
    std::uint64_t m_length = 0;
    std::optional<answer_ending> m_ending;
};

} // namespace borageford::sidecar
