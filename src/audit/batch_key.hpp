// The keys of batches in the object store. A key starts with the time and the writer of its batch, so that
// the records of one request can be found by listing a few prefixes instead of the batches of thousands of
// writers. docs/design/audit.md has the calculation.
#pragma once

#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::audit {

/// A point in time with the resolution of one minute, UTC.
using minute_point = std::chrono::time_point<std::chrono::system_clock, std::chrono::minutes>;

/// The parts of a key `audit/YYYY-MM-DD/HH/MM/ROLE/WRITER/SEQUENCE-INCARNATION`. The time is the minute (UTC)
/// in which the batch was closed; its records were made in that minute or before.
struct batch_key {
    minute_point minute;
    std::string role;           ///< "entry" or "sidecar"
    std::string writer;         ///< the entry's VM or the sidecar's backend server
    std::uint64_t sequence = 0; ///< number of the batch within its incarnation, from 1 without gaps
    identifier incarnation;     ///< identifies one run of the writer's process

    [[nodiscard]] std::string to_string() const;
    /// Parses a key; returns nothing if the text isn't the key of a batch.
    [[nodiscard]] static std::optional<batch_key> parse(std::string_view text);
};

/// The key prefix of all batches that writers of this role closed in this minute.
[[nodiscard]] std::string key_prefix(minute_point minute, std::string_view role);
/// The key prefix of all batches that one writer closed in this minute.
[[nodiscard]] std::string key_prefix(minute_point minute, std::string_view role, std::string_view writer);

/// Escapes a writer's name for use in a key: each byte other than letters, digits, ".", "_" and "-" becomes
/// ~XX (hexadecimal). Without this, a name with a slash could produce the key of another writer, and keys
/// would have to be encoded in URLs.
[[nodiscard]] std::string escape_writer(std::string_view writer);

} // namespace borageford::audit
