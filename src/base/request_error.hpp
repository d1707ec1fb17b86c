// The exception that ends a request with an error response; the code that writes the response catches it.
#pragma once

#include "base/error_kind.hpp"

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace borageford {

/// Ends a request with the error response for `kind` (answer_for()). what() is `detail`, or the kind's
/// summary when `detail` is empty.
class request_error : public std::runtime_error {
public:
    explicit request_error(error_kind kind, const std::string& detail = {},
                           std::optional<std::chrono::milliseconds> retry_after = std::nullopt)
        : std::runtime_error(detail.empty() ? std::string(answer_for(kind).summary) : detail),
          m_kind(kind),
          m_retry_after(retry_after) {}

    [[nodiscard]] error_kind kind() const noexcept { return m_kind; }

    /// After how long the caller should retry; std::nullopt when that isn't known.
    [[nodiscard]] std::optional<std::chrono::milliseconds> retry_after() const noexcept {
        return m_retry_after;
    }

private:
    error_kind m_kind;
    std::optional<std::chrono::milliseconds> m_retry_after;
};

} // namespace borageford
