// A transactional table with a history of its changes, in memory.
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

/// Keys are "TABLE/NAME". Invariant: within an era the version grows by one with each transaction that
/// commits.
class row_store {
public:
    using clock = std::chrono::steady_clock;

    /// All or nothing. When a condition fails, the result names the keys.
    store::transaction_result transact(const store::transaction& changes);

    [[nodiscard]] std::optional<store::row> read(std::string_view key) const;
    /// Rows whose keys start with the prefix, from after `after` on, or from `after` itself.
    [[nodiscard]] store::row_page scan(std::string_view prefix, std::string_view after, std::size_t limit,
                                       bool includes_after = false) const;

    /// What changed in a table after a version; nothing when that history is gone, or when there is no such
    /// version.
    [[nodiscard]] std::optional<store::change_page> changes(std::string_view table,
                                                            std::uint64_t after) const;
    /// Drops the history: whoever follows has to read everything again.
    void forget_history();

    /// Becomes what it was at a moment, as far back as its history reaches, and begins a new era. Returns
    /// what is lost, in its order.
    std::vector<store::row_change> restore(clock::time_point moment);

    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    [[nodiscard]] std::uint64_t era() const noexcept { return m_era; }

private:
    struct past_change {
        store::row_change change;
        std::optional<store::row> former; ///< what it replaced
        clock::time_point at;
    };

    void remember(store::row_change change, std::optional<store::row> former);
    void undo(const past_change& last);

    std::map<std::string, store::row, std::less<>> m_rows;
    std::deque<past_change> m_history;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_history_begin = 0; ///< changes after this version are known
};

} // namespace borageford::emulator
