// The row of a claimed idempotency key at the platform's table.
#pragma once

#include "base/identifier.hpp"
#include "store/table.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::entry {

/// Every claim's row has a key that starts with this.
inline constexpr std::string_view claim_prefix = "claim/";

enum class claim_state : std::uint8_t {
    claimed,  ///< may be running: ask the sidecar
    finished, ///< has run to its end
};

/// What the row of a claim says.
struct claim {
    dispatch_id dispatch;
    request_id request;
    std::uint64_t fingerprint = 0;
    std::string backend_server;
    identifier incarnation; ///< of the sidecar that is to run it
    claim_state state = claim_state::claimed;
    std::int64_t time = 0;     ///< seconds since 1970, by the clock of the entry that wrote it
    std::uint64_t version = 0; ///< of the row; 0: no row yet
};

/// Seconds since 1970 by this machine's clock, as claims have them.
[[nodiscard]] std::int64_t claim_time_now();

/// "claim/HASH/WORKSPACE/KEY". The hash spreads rows evenly over the order of keys, so that the sweeper
/// finds its share of them from any place it starts at, however callers name their keys.
[[nodiscard]] std::string claim_key(std::string_view workspace, std::string_view key);
/// A place in the order of keys, drawn at random.
[[nodiscard]] std::string random_claim_position();

[[nodiscard]] std::string encode_claim(const claim& value);
/// Throws std::exception for a row that no version of this program wrote.
[[nodiscard]] claim decode_claim(const store::row& row);

} // namespace borageford::entry
