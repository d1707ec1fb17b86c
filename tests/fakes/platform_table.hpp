// The platform's transactional table, in memory, with the stale reads that tests switch on.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

struct table_row {
    std::string value;
    std::uint64_t version = 0;
};

/// Invariant: versions grow over the whole table, by one a transaction.
class platform_table {
public:
    struct outcome {
        unsigned status = 200;
        std::string body;
        std::uint64_t rows_written = 0;
    };

    /// Applies `{"conditions", "puts", "deletes"}` whole or not at all. Throws for a malformed body.
    outcome transact(std::string_view json);

    [[nodiscard]] outcome read_row(std::string_view key) const;
    [[nodiscard]] outcome scan(std::string_view prefix, std::string_view after, std::size_t limit) const;

    /// While on, reads answer from the rows as they were when it was switched on.
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
