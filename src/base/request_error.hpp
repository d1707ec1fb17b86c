// The exception that carries an error kind to the place where the answer is written.
#pragma once

#include "base/error_kind.hpp"

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace borageford {

/// Ends a request with an answer from the table of error kinds.
class request_error : public std::runtime_error {
public:
    explicit request_error(error_kind kind, const std::string& detail = {},
                           std::optional<std::chrono::milliseconds> retry_after = std::nullopt)
        : std::runtime_error(detail.empty() ? std::string(answer_for(kind).summary) : detail),
          m_kind(kind),
          m_retry_after(retry_after) {}

    [[nodiscard]] error_kind kind() const noexcept { return m_kind; }

    /// When it is worth asking again, where that is known.
    [[nodiscard]] std::optional<std::chrono::milliseconds> retry_after() const noexcept {
        return m_retry_after;
    }

private:
    error_kind m_kind;
    std::optional<std::chrono::milliseconds> m_retry_after;
};

} // namespace borageford
