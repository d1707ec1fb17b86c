// The one hash used for prefixes, fingerprints and placement: XXH3, 64 bits. All processes must agree on it.
#pragma once

#include <cstdint>
#include <string_view>

namespace borageford {

/// XXH3 of the bytes; the seed chains one block's hash into the next.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

} // namespace borageford
