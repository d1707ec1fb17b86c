// The promise to a refused caller that there will be room for its request at a certain time.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstdint>

namespace borageford::policy {

/// Upper bound of the time after which a refused caller is told to come back.
inline constexpr std::chrono::milliseconds max_return_delay{5000};

/// A caller comes back this much after its time at most: it opens a connection first, possibly to a gateway
/// that is busy. One that comes later is treated like a new one.
inline constexpr std::chrono::milliseconds max_return_lateness{1000};

/// The caller is recognised by the fingerprint of its request when it comes back.
struct return_promise {
    std::uint64_t fingerprint = 0;
    service_key service = 0;
    workspace_key workspace = 0;
    int tier = 0;
    time_point due; ///< when the caller was told to come back
};

/// What became of the returns of refused callers.
struct return_counts {
    std::uint64_t promised = 0; ///< refused callers that were told when to come back
    std::uint64_t kept = 0;     ///< requests that came back as told and were granted a slot
    std::uint64_t broken = 0;   ///< requests that came back as told and were refused again
    std::uint64_t early = 0;    ///< requests that came back before their time
    std::uint64_t expired = 0;  ///< promises whose callers didn't come back
    std::uint64_t no_room = 0;  ///< refused callers for which no time could be named

    bool operator==(const return_counts&) const = default;
};

} // namespace borageford::policy
