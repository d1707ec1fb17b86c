// A batch of audit records as it lies in the object store: JSON lines, one for the batch and one for each
// request in it, so that what the records of one request share is written once.
#pragma once

#include "audit/record.hpp"

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// Who wrote a batch.
struct batch_origin {
    std::string role; ///< "entry" or "sidecar"
    std::string vm;
    std::string backend_server; ///< for sidecars
};

struct batch {
    batch_origin origin;
    /// The writer's last one before its graceful end; a writer without one was killed or cut off.
    bool is_last = false;
    std::vector<record> records; ///< by time
};

/// An object that isn't a batch, or is one of an unknown format.
class batch_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[nodiscard]] std::string encode_batch(const batch& content);

/// Throws batch_error.
[[nodiscard]] batch decode_batch(std::string_view text);

} // namespace borageford::audit
