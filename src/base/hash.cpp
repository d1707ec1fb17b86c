// Implements hash_bytes() with the xxHash library.
#include "base/hash.hpp"

#include <xxhash.h>

namespace borageford {

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace borageford
