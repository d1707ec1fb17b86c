// What placement needs to know of a prompt: its length and the chained hashes of its blocks
// (docs/INTERFACES.md). Prompts themselves go nowhere but to the backend server.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace borageford::entry {

/// Bytes in one block of a prompt.
inline constexpr std::size_t block_size = 256;
/// Blocks hashed at most; longer prompts share a home by their beginning.
inline constexpr std::size_t most_blocks = 64;
/// Bytes of text counted as one token.
inline constexpr std::size_t bytes_per_token = 4;

[[nodiscard]] std::vector<std::uint64_t> hash_prefixes(std::string_view prompt);
[[nodiscard]] std::uint32_t count_tokens(std::string_view prompt);

} // namespace borageford::entry
