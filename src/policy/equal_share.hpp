// The rule by which parties that share a bounded amount of memory are refused more of it.
#pragma once

#include <algorithm>
#include <cstdint>

namespace borageford::policy {

/// What a party asks to hold, in bytes, further ones included.
struct memory_use {
    std::uint64_t all; ///< of all parties together
    std::uint64_t own; ///< of this party
};

/// Whether the party is to be refused: all together would be above the limit, and this one above an equal
/// share of it. So parties that hold little still find room beside those that hold much.
[[nodiscard]] constexpr bool exceeds_equal_share(const memory_use& wanted, std::uint64_t limit,
                                                 std::uint64_t parties) noexcept {
    return wanted.all > limit && wanted.own > limit / std::max<std::uint64_t>(parties, 1);
}

} // namespace borageford::policy
