// Keeps the rows in an ordered map, and the latest changes in a list for readers of changes and for restores.
#include "emulator/row_store.hpp"

#include <algorithm>
#include <utility>

namespace borageford::emulator {

namespace {

/// The most changes that are kept in the history.
constexpr std::size_t most_history = 10'000;

/// The table that a key belongs to.
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
        record_change({row, false}, read(put.key));
        m_rows[put.key] = row;
    }
    for (const auto& key : changes.deletes) {
        if (auto previous = read(key)) {
            m_rows.erase(key);
            record_change({{key, "", m_version}, true}, std::move(previous));
        }
    }
    return result;
}

void row_store::record_change(store::row_change change, std::optional<store::row> previous) {
    m_history.push_back({std::move(change), std::move(previous), clock::now()});
    if (m_history.size() > most_history) {
        m_history_begin = m_history.front().change.now.version;
        m_history.pop_front();
    }
}

std::vector<store::row_change> row_store::restore(clock::time_point moment) {
    std::vector<store::row_change> lost;
    while (!m_history.empty() && m_history.back().at > moment) {
        undo(m_history.back());
        lost.push_back(std::move(m_history.back().change));
        m_history.pop_back();
    }
    m_version = m_history.empty() ? m_history_begin : m_history.back().change.now.version;
    ++m_era;
    std::ranges::reverse(lost);
    return lost;
}

void row_store::undo(const past_change& last) {
    if (last.previous.has_value()) {
        m_rows[last.previous->key] = *last.previous;
    } else {
        m_rows.erase(last.change.now.key);
    }
}

std::optional<store::row> row_store::read(std::string_view key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

store::row_page row_store::scan(std::string_view prefix, std::string_view after, std::size_t limit,
                                bool includes_after) const {
    store::row_page page;
    page.position = {m_era, m_version};
    const auto begin = after.empty() ? prefix : after;
    auto entry = after.empty() || includes_after ? m_rows.lower_bound(begin) : m_rows.upper_bound(begin);
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
    if (after < m_history_begin || after > m_version) {
        return std::nullopt;
    }
    store::change_page page;
    page.position = {m_era, m_version};
    for (const auto& [change, previous, at] : m_history) {
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
