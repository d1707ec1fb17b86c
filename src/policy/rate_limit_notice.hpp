// What an answer of a backend server said about the server's rate limit.
#pragma once

#include "policy/coordinator_election.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <cstdint>
#include <optional>

namespace borageford::policy {

/// One answer's statement about its server's rate limit. The server wrote the answer at some time from
/// `asked` to `heard`; nothing in an answer says when exactly.
///
/// Invariant: asked <= heard.
struct rate_limit_notice {
    server_key server = 0;
    /// Identifies the notice in all processes, so that one that comes back on another path isn't taken for a
    /// new one.
    std::uint64_t id = 0;
    /// The requests per second that the server accepts from all gateways together; nothing if the answer
    /// named no limit.
    std::optional<double> limit;
    time_point asked;        ///< when the request was sent
    time_point heard;        ///< when the answer's head was received
    member_key heard_by = 0; ///< the gateway that received the answer
};

} // namespace borageford::policy
