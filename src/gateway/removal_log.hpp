// Remembers which registrations were removed, and at which position of the store's history.
#pragma once

#include "store/position.hpp"

#include <algorithm>
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
    /// Records that other ids may have been removed up to position `at`: what is known of that time is which
    /// ids were left.
    void begin_at(store::position at) { m_begin = std::max(m_begin, at); }

    /// Returns the position up to which removals may be missing.
    [[nodiscard]] store::position begin() const noexcept { return m_begin; }
    /// Returns whether all removals after a position are still remembered.
    [[nodiscard]] bool has_all_since(store::position from) const noexcept { return from >= m_begin; }
    /// Returns the ids removed after a position; an id that was removed several times is listed as often.
    [[nodiscard]] std::vector<std::string> after(store::position from) const;
    /// Returns the position of the id's last removal; nothing if it was never removed or the removal is no
    /// longer remembered.
    [[nodiscard]] std::optional<store::position> find(std::string_view id) const;

private:
    std::multimap<store::position, std::string> m_removed;
    store::position m_begin; ///< Removals up to this position may be missing.
};

} // namespace borageford::gateway
