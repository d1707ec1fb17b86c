// The rows of the transactional table, its transactions and its answers, independent of the format in which
// they are sent.
#pragma once

#include "store/position.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::store {

/// A row of a table. Its key is "TABLE/NAME".
struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; ///< version of the last change to this row
};

/// The row must have this version when the transaction commits; 0: the row must not exist.
struct condition {
    std::string key;
    std::uint64_t version = 0;
};

/// Inserts a row or replaces its value.
struct put {
    std::string key;
    std::string value;
};

/// Changes that are committed together if all conditions hold. Otherwise nothing is changed.
struct transaction {
    std::vector<condition> conditions;
    std::vector<put> puts;
    std::vector<std::string> deletes; ///< keys of the rows to delete
};

struct transaction_result {
    bool committed = false;
    std::uint64_t version = 0;            ///< if committed: version of all rows that were put
    std::vector<std::string> failed_keys; ///< if not committed: keys of the conditions that didn't hold
};

/// Rows of a table, all read at the same moment.
struct row_page {
    std::vector<row> rows;
    store::position position;     ///< position of the store at that moment, if the format contains it
    std::uint64_t store_time = 0; ///< the store's steady clock at that moment, in ms; 0: unknown
    bool has_more = false;        ///< more rows follow after the last one
};

/// The latest change to one row.
struct row_change {
    row now;                 ///< the row after the change; its value is unused if it was removed
    bool is_removed = false; ///< the row was deleted
};

/// Changes in the order in which they happened. The next request asks for the changes after `position`.
struct change_page {
    std::vector<row_change> changes;
    store::position position;
    std::uint64_t store_time = 0; ///< the store's steady clock when it answered, in ms; 0: unknown
};

} // namespace borageford::store
