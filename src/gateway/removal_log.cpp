// Implementation of removal_log. Removals are sorted by position, because the removals after a position are
// requested often, while a single id is looked up only at the beginning of an era.
#include "gateway/removal_log.hpp"

#include <algorithm>
#include <ranges>

namespace borageford::gateway {

namespace {

/// Number of remembered removals; they take a few kilobytes in each process. A gateway that has missed more
/// requests the complete state.
constexpr std::size_t max_removals = 500;

} // namespace

void removal_log::add(std::string_view id, store::position at) {
    m_removed.emplace(at, id);
    if (m_removed.size() > max_removals) {
        m_begin = m_removed.begin()->first;
        m_removed.erase(m_removed.begin());
    }
}

std::vector<std::string> removal_log::after(store::position from) const {
    std::vector<std::string> result;
    for (auto removed = m_removed.upper_bound(from); removed != m_removed.end(); ++removed) {
        result.push_back(removed->second);
    }
    return result;
}

std::optional<store::position> removal_log::find(std::string_view id) const {
    const auto newest_first = std::views::reverse(m_removed);
    const auto found = std::ranges::find(newest_first, id, [](const auto& entry) { return entry.second; });
    return found == newest_first.end() ? std::nullopt : std::optional(found->first);
}

} // namespace borageford::gateway
