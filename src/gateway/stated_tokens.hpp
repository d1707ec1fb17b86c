// Reads the token counts that callers state in a header field of their requests.
#pragma once

#include <optional>
#include <string_view>

namespace borageford::gateway {

/// Token counts stated by the caller: those of the prompt, and the maximum of the output.
struct stated_tokens {
    double prompt = 0;
    double max_output = 0;
};

/// Parses "PROMPT,OUTPUT" or "PROMPT"; returns nothing unless the numbers are counts. A negative count would
/// lower what the request takes of its workspace's quota.
[[nodiscard]] std::optional<stated_tokens> parse_tokens(std::string_view text) noexcept;

} // namespace borageford::gateway
