// The bytes of one answer as far as they have come, kept until the entry has acknowledged them.
#pragma once

#include "backend/backend_types.hpp"
#include "base/error_kind.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::sidecar {

/// How an answer ended.
struct answer_ending {
    std::optional<error_kind> failure; ///< nothing: it is whole
    std::chrono::milliseconds retry_after{0};
    backend::usage usage;
};

/// Invariant: after its end nothing is added.
class answer_buffer {
public:
    void set_head(backend::answer_head head) { m_head = std::move(head); }
    void append(std::string_view bytes);
    void end(answer_ending ending);

    [[nodiscard]] const std::optional<backend::answer_head>& head() const noexcept { return m_head; }
    [[nodiscard]] const std::optional<answer_ending>& ending() const noexcept { return m_ending; }
    [[nodiscard]] std::uint64_t length() const noexcept { return m_body.size(); }
    [[nodiscard]] std::string_view from(std::uint64_t offset) const noexcept;
    [[nodiscard]] std::string_view body() const noexcept { return m_body; }

private:
    std::optional<backend::answer_head> m_head;
    std::string m_body;
    std::optional<answer_ending> m_ending;
};

} // namespace borageford::sidecar
