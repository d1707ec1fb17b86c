// What gateways tell each other about requests that were running when backend servers crashed.
#pragma once

#include "policy/member_key.hpp"
#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace borageford::policy {

/// What may have crashed a server.
enum class suspect_kind : std::uint8_t {
    request,     ///< all requests with one fingerprint, see slot_request::fingerprint
    prompt_part, ///< all requests with one part in their prompts
    last_kind = prompt_part
};

/// Identifies what may have crashed a server.
struct crash_suspect {
    suspect_kind kind = suspect_kind::request;
    std::uint64_t key = 0; ///< a hash; 0: none

    friend auto operator<=>(const crash_suspect&, const crash_suspect&) = default;
};

/// A server crashed while it may have run a request that the suspect is, or that contains it.
struct crash_mark {
    crash_suspect suspect;
    server_key server = 0; ///< the start of the server that crashed
    time_point at;
    member_key heard_by = 0; ///< the gateway whose request it was
};

/// A server has answered such a request, so the suspect doesn't crash servers, or an operator has released
/// it. All earlier marks are void.
struct crash_clearance {
    crash_suspect suspect;
    time_point at;
    member_key heard_by = 0; ///< the gateway that received the answer
};

/// Part of a datagram; empty in nearly all of them, since few requests run when servers crash.
struct crash_statement {
    std::vector<crash_mark> marks;
    std::vector<crash_clearance> clearances;

    [[nodiscard]] bool is_empty() const noexcept { return marks.empty() && clearances.empty(); }
};

inline void append(crash_statement& to, const crash_statement& added) {
    to.marks.insert(to.marks.end(), added.marks.begin(), added.marks.end());
    to.clearances.insert(to.clearances.end(), added.clearances.begin(), added.clearances.end());
}

} // namespace borageford::policy
