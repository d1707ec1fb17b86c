// Where a batch lies in the object store. Keys lead from a moment and a writer to few objects, so that one
// request is found among thousands of writers (docs/design/audit.md has the arithmetic).
#pragma once

#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::audit {

using minute_point = std::chrono::time_point<std::chrono::system_clock, std::chrono::minutes>;

/// `audit/YYYY-MM-DD/HH/MM/ROLE/WRITER/SEQUENCE-INCARNATION`, by the minute (UTC) in which the batch was
/// closed; its records are of that moment or before. The writer is the entry's VM or the sidecar's backend
/// server.
struct batch_key {
    minute_point minute;
    std::string role;
    std::string writer;
    std::uint64_t sequence = 0; ///< counts the writer's batches from 1, without holes
    identifier incarnation;

    [[nodiscard]] std::string to_string() const;
    [[nodiscard]] static std::optional<batch_key> parse(std::string_view text);
};

/// The prefix of all batches that writers of this role closed in that minute.
[[nodiscard]] std::string key_prefix(minute_point minute, std::string_view role);
/// The same of one writer.
[[nodiscard]] std::string key_prefix(minute_point minute, std::string_view role, std::string_view writer);

/// A writer's name as it stands in keys: anything but letters, digits, "." , "_" and "-" becomes ~XX, so that
/// a name with a slash can't pose as another writer's and no key needs to be encoded in a URL.
[[nodiscard]] std::string escape_writer(std::string_view writer);

} // namespace borageford::audit
