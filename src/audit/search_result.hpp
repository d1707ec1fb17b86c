// The result of a search for audit records.
#pragma once

#include "audit/record.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace borageford::audit {

/// A record and the process that wrote it.
struct attributed_record {
    record audit_record;
    std::string role;   ///< "entry" or "sidecar"
    std::string writer; ///< the entry's VM or the sidecar's backend server
};

/// The records found by a search, and what it couldn't find.
struct search_result {
    std::vector<attributed_record> records; ///< sorted by time
    /// Sentences about records that are missing or couldn't be read. Without them, an auditor could take
    /// missing records as proof that nothing happened.
    std::vector<std::string> remarks;
    std::size_t objects_read = 0; ///< number of batches read
};

} // namespace borageford::audit
