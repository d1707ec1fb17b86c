// The format of the rows in the platform's table that record claims of idempotency keys.
#pragma once

#include "base/identifier.hpp"
#include "store/table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::entry {

/// Prefix of the row keys of all claims.
inline constexpr std::string_view claim_prefix = "claim/";

enum class claim_state : std::uint8_t {
    claimed,  ///< the call may be running; only the sidecar can say what became of it
    finished, ///< the call has run to its end
};

/// The contents of a claim's row: which dispatch may run the call that has this idempotency key.
struct claim {
    dispatch_id dispatch;
    request_id request;
    std::uint64_t fingerprint = 0; ///< call::fingerprint of the request that claimed the key
    std::string backend_server;
    identifier incarnation;          ///< incarnation of the sidecar process that is to run the call
    std::uint64_t granted_at_ms = 0; ///< when that sidecar granted the dispatch; see grant_message
    claim_state state = claim_state::claimed;
    /// When the key was claimed: seconds since 1970, by that entry's clock. Other entries must not rely on
    /// it.
    std::int64_t time = 0;
    std::uint64_t version = 0; ///< version of the row in the table; 0: no row yet
};

/// The current time for claim::time: seconds since 1970 by the system clock.
[[nodiscard]] std::int64_t claim_time_now();

/// The row key of a claim: "claim/HASH/WORKSPACE/KEY". The hash distributes the rows evenly over the sorted
/// row keys. Otherwise claim_sweeper, which reads from random positions, would rarely reach some of them when
/// callers choose similar keys.
[[nodiscard]] std::string claim_key(std::string_view workspace, std::string_view key);
/// A random row key among the claims, from which a scan can begin.
[[nodiscard]] std::string random_claim_position();

/// The row's value as JSON. `version` is not part of it.
[[nodiscard]] std::string encode_claim(const claim& value);
/// Decodes a row of a claim. Throws an exception derived from std::exception when the row isn't in this
/// format.
[[nodiscard]] claim decode_claim(const store::row& row);

} // namespace borageford::entry
