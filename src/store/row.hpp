// What the transactional table holds and answers, whichever format it is spoken to in.
#pragma once

#include "store/position.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::store {

struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The row must have this version when the transaction commits; 0: there must be no such row.
struct condition {
    std::string key;
    std::uint64_t version = 0;
};

struct put {
    std::string key;
    std::string value;
};

/// All or nothing.
struct transaction {
    std::vector<condition> conditions;
    std::vector<put> puts;
    std::vector<std::string> deletes;
};

struct transaction_result {
    bool committed = false;
    std::uint64_t version = 0;            ///< of every row put, when committed
    std::vector<std::string> failed_keys; ///< whose conditions didn't hold, otherwise
};

/// Rows as of one moment.
struct row_page {
    std::vector<row> rows;
    store::position position;     ///< of the whole store at that moment, where the format tells it
    std::uint64_t store_time = 0; ///< the store's steady clock at that moment, in ms; 0: not told
    bool has_more = false;
};

/// What happened to one row.
struct row_change {
    row now;
    bool is_removed = false;
};

/// Changes in their order; the next ones are asked for after `position`.
struct change_page {
    std::vector<row_change> changes;
    store::position position;
    std::uint64_t store_time = 0; ///< the store's steady clock when it answered, in ms; 0: not told
};

} // namespace borageford::store
