// A batch of audit records, the unit in which records are written to the object store. The format is JSON
// lines: a head line for the batch, then one line for each request, so that fields that all records of a
// request have in common are written only once.
#pragma once

#include "audit/record.hpp"

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// The process that wrote a batch.
struct batch_origin {
    std::string role; ///< "entry" or "sidecar"
    std::string vm;
    std::string backend_server; ///< backend server of a sidecar; empty for an entry
};

struct batch {
    batch_origin origin;
    /// Set in the last batch that a process writes during a graceful shutdown. A process that left no such
    /// batch was killed or lost its connection to the store.
    bool is_last = false;
    std::vector<record> records; ///< sorted by time after decoding
};

/// Thrown for an object that isn't a batch or has an unknown format version.
class batch_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the batch in the format of the object store.
[[nodiscard]] std::string encode_batch(const batch& content);

/// Decodes the result of encode_batch(). Throws batch_error if the text is truncated or isn't a batch.
[[nodiscard]] batch decode_batch(std::string_view text);

} // namespace borageford::audit
