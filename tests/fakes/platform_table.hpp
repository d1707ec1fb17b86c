// A fake of the platform's transactional table, in memory. Tests can switch stale reads on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

/// A value and the version of the transaction that wrote it.
struct table_row {
    std::string value;
    std::uint64_t version = 0;
};

/// Invariant: the version is common to the whole table and grows by one with each successful transaction.
class platform_table {
public:
    /// The HTTP answer to a call, and how many rows it wrote or deleted.
    struct outcome {
        unsigned status = 200;
        std::string body;
        std::uint64_t rows_written = 0;
    };

    /// Applies the puts and deletes of `{"conditions", "puts", "deletes"}` if all conditions hold; otherwise
    /// changes nothing and answers 409. Throws for a malformed body.
    outcome transact(std::string_view json);

    /// Reads one row (404 when there is none), or the rows with this prefix whose keys come after `after`.
    [[nodiscard]] outcome read_row(std::string_view key) const;
    [[nodiscard]] outcome scan(std::string_view prefix, std::string_view after, std::size_t limit) const;

    /// While on, reads return the rows as they were when stale reads were switched on.
    void set_stale_reads(bool stale);

private:
    using rows = std::map<std::string, table_row, std::less<>>;

    [[nodiscard]] const rows& readable() const { return m_is_stale ? m_stale_rows : m_rows; }

    rows m_rows;
    rows m_stale_rows;
    bool m_is_stale = false;
    std::uint64_t m_version = 0;
};

} // namespace borageford::test
