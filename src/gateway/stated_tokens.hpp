// Reads the numbers that callers state in header fields of their requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace borageford::gateway {

/// Token counts stated by the caller: those of the prompt, and the maximum of the output.
struct stated_tokens {
    double prompt = 0;
    double max_output = 0;
};

/// Parses a decimal integer; returns nothing for any other text, also if it only begins with one.
[[nodiscard]] std::optional<std::int64_t> parse_integer(std::string_view text) noexcept;

/// Parses "PROMPT,OUTPUT" or "PROMPT"; returns nothing unless the numbers are counts. A negative count would
/// lower what the request takes of its workspace's quota.
[[nodiscard]] std::optional<stated_tokens> parse_tokens(std::string_view text) noexcept;

} // namespace borageford::gateway
