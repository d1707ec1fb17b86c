// A point in the history of changes to the store.
#pragma once

#include <compare>
#include <cstdint>

namespace borageford::store {

/// The store numbers its changes with versions. When the store is restored from an older copy, it assigns
/// the versions after that of the copy again, to other changes, so a version alone doesn't identify a
/// change. Each such restore begins a new era. Every position of an earlier era is older than every
/// position of a later one.
///
/// Up to the version of the copy, the eras before and after a restore have the same changes.
struct position {
    std::uint64_t era = 0;     ///< 0: the store doesn't report its era
    std::uint64_t version = 0; ///< 0: before the first change

    auto operator<=>(const position&) const = default;
};

} // namespace borageford::store
