// One ordered map and one list of changes.
#include "emulator/row_store.hpp"

#include <utility>

namespace borageford::emulator {

namespace {

/// Changes that are remembered; older ones count as forgotten.
constexpr std::size_t most_history = 10'000;

std::string_view table_of(std::string_view key) {
    return key.substr(0, key.find('/'));
}

} // namespace

store::transaction_result row_store::transact(const store::transaction& changes) {
    store::transaction_result result;
    for (const auto& condition : changes.conditions) {
        const auto found = m_rows.find(condition.key);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        if (version != condition.version) {
            result.failed_keys.push_back(condition.key);
        }
    }
    if (!result.failed_keys.empty()) {
        return result;
    }
    result.committed = true;
    result.version = ++m_version;
    for (const auto& put : changes.puts) {
        const store::row row{put.key, put.value, m_version};
        m_rows[put.key] = row;
        m_history.push_back({row, false});
    }
    for (const auto& key : changes.deletes) {
        if (m_rows.erase(key) > 0) {
            m_history.push_back({{key, "", m_version}, true});
        }
    }
    while (m_history.size() > most_history) {
        m_history_begin = m_history.front().now.version;
        m_history.pop_front();
    }
    return result;
}

std::optional<store::row> row_store::read(std::string_view key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

store::row_page row_store::scan(std::string_view prefix, std::string_view after, std::size_t limit) const {
    store::row_page page;
    page.version = m_version;
    auto entry = after.empty() ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; entry != m_rows.end() && entry->first.starts_with(prefix); ++entry) {
        if (page.rows.size() == limit) {
            page.has_more = true;
            break;
        }
        page.rows.push_back(entry->second);
    }
    return page;
}

std::optional<store::change_page> row_store::changes(std::string_view table, std::uint64_t after) const {
    if (after < m_history_begin) {
        return std::nullopt;
    }
    store::change_page page;
    page.version = m_version;
    for (const auto& change : m_history) {
        if (change.now.version > after && table_of(change.now.key) == table) {
            page.changes.push_back(change);
        }
    }
    return page;
}

void row_store::forget_history() {
    m_history.clear();
    m_history_begin = m_version;
}

} // namespace borageford::emulator
