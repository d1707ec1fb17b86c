// What a search through the audit batches brought to light.
#pragma once

#include "audit/record.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace borageford::audit {

/// A record and who wrote it.
struct witnessed_record {
    record entry;
    std::string role;   ///< "entry" or "sidecar"
    std::string writer; ///< the entry's VM or the sidecar's backend server
};

struct findings {
    std::vector<witnessed_record> records; ///< by time
    /// What is missing or couldn't be read, in sentences: silence must not pass for "nothing happened".
    std::vector<std::string> remarks;
    std::size_t objects_read = 0;
};

} // namespace borageford::audit
