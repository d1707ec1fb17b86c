// Which registrations were removed, and when by the store's history.
#pragma once

#include "store/position.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::gateway {

/// Bounded: the oldest removals are forgotten first.
class removal_log {
public:
    /// The id was known to be removed when all up to `at` was known, which is not before any earlier one.
    void add(std::string_view id, store::position at);

    /// Whether all removals after a position are remembered.
    [[nodiscard]] bool reaches_back_to(store::position from) const noexcept { return from >= m_begin; }
    /// Ids removed after a position, some perhaps more than once.
    [[nodiscard]] std::vector<std::string> after(store::position from) const;
    /// When the id was removed last; nothing: never, or long ago.
    [[nodiscard]] std::optional<store::position> find(std::string_view id) const;

private:
    std::multimap<store::position, std::string> m_removed;
    store::position m_begin; ///< older removals are forgotten
};

} // namespace borageford::gateway
