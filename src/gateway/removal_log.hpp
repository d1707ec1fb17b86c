// Remembers which registrations were removed, and at which position of the store's history.
#pragma once

#include "store/position.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::gateway {

/// The size is limited: the oldest removals are dropped first.
class removal_log {
public:
    /// Records that the id is known to be removed at position `at`, which must not be before the position of
    /// an earlier call.
    void add(std::string_view id, store::position at);

    /// Returns whether all removals after a position are still remembered.
    [[nodiscard]] bool has_all_since(store::position from) const noexcept { return from >= m_begin; }
    /// Returns the ids removed after a position; an id that was removed several times is listed as often.
    [[nodiscard]] std::vector<std::string> after(store::position from) const;
    /// Returns the position of the id's last removal; nothing if it was never removed or the removal is no
    /// longer remembered.
    [[nodiscard]] std::optional<store::position> find(std::string_view id) const;

private:
    std::multimap<store::position, std::string> m_removed;
    store::position m_begin; ///< Removals up to this position may have been dropped.
};

} // namespace borageford::gateway
