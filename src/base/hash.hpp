// The hash function for prompt prefixes, request fingerprints and placement. Hashes are exchanged between
// processes, so all of them must use the same function.
#pragma once

#include <cstdint>
#include <string_view>

namespace borageford {

/// The 64-bit XXH3 hash of the bytes. To hash a sequence of blocks, pass the hash of each block as the seed
/// for the next one.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

} // namespace borageford
