// The length of a prompt as placement and limits count it (docs/INTERFACES.md).
#pragma once

#include <cstdint>
#include <string_view>

namespace borageford::entry {

/// Bytes of text counted as one token.
inline constexpr std::size_t bytes_per_token = 4;

[[nodiscard]] std::uint32_t count_tokens(std::string_view prompt);

} // namespace borageford::entry
