// An in-memory transactional key-value store with a history of its changes.
#pragma once

#include "store/row.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::emulator {

/// Keys have the form "TABLE/NAME". Invariant: within an era, each committed transaction increases the
/// version by one. An era ends when the store is restored from an older copy.
class row_store {
public:
    using clock = std::chrono::steady_clock;

    /// Applies all changes, or none when a condition fails; the result then has the keys of the failed
    /// conditions.
    store::transaction_result transact(const store::transaction& changes);

    [[nodiscard]] std::optional<store::row> read(std::string_view key) const;
    /// At most `limit` rows whose keys start with the prefix, sorted by key. They begin after the key
    /// `after`, or with it when `includes_after` is set; an empty `after` means from the first row.
    [[nodiscard]] store::row_page scan(std::string_view prefix, std::string_view after, std::size_t limit,
                                       bool includes_after = false) const;

    /// The changes of a table after a version. Returns nothing when the history doesn't reach back to that
    /// version, or when the version is higher than the current one.
    [[nodiscard]] std::optional<store::change_page> changes(std::string_view table,
                                                            std::uint64_t after) const;
    /// Drops the history, so that readers of changes have to read all rows again.
    void forget_history();

    /// Restores the contents as of `moment`, or as of the begin of the history if that is later, and begins a
    /// new era. Returns the lost changes, oldest first.
    std::vector<store::row_change> restore(clock::time_point moment);

    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] std::uint64_t era() const noexcept { return m_era; }

private:
    /// A change and what is needed to undo it.
    struct past_change {
        store::row_change change;
        std::optional<store::row> previous; ///< the row before the change; nothing if there was none
        clock::time_point at;
    };

    void record_change(store::row_change change, std::optional<store::row> previous);
    void undo(const past_change& last);

    std::map<std::string, store::row, std::less<>> m_rows;
    std::deque<past_change> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_history_begin = 0; ///< the history has all changes after this version
};

} // namespace borageford::emulator
