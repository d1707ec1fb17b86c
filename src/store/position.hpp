// A point in the history of the store.
#pragma once

#include <compare>
#include <cstdint>

namespace borageford::store {

/// The store numbers its changes. One that comes back from an older copy gives the numbers after the copy's
/// out again, for other changes, so that a version alone doesn't tell which change it means. Each such return
/// begins a new era, and whatever belongs to a former one is older.
///
/// Up to the copy's version two neighbouring eras have the same changes.
struct position {
    std::uint64_t era = 0;     ///< 0: the store tells none
    std::uint64_t version = 0; ///< 0: before all changes

    auto operator<=>(const position&) const = default;
};

} // namespace borageford::store
