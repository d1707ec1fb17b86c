// One decision about one request, as an auditor will read it. Prompts and answers are never part of it.
#pragma once

#include "base/error_kind.hpp"
#include "base/identifier.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::audit {

/// What was decided.
enum class event : std::uint8_t {
    received,   ///< entry: a caller's request came in
    offered,    ///< entry: offered to a backend server
    queued,     ///< sidecar: took the offer into its queue
    refused,    ///< sidecar: refused the offer; entry: refused the request
    pushed_out, ///< sidecar: dropped for a higher tier
    granted,    ///< sidecar: has room now
    withdrawn,  ///< sidecar: the entry went elsewhere
    lapsed,     ///< sidecar: no start came for a grant
    started,    ///< entry: sent the start; sidecar: gave it to its backend server
    attached,   ///< the answer of a running or finished dispatch was joined
    ended,      ///< the dispatch ended at the sidecar
    answered,   ///< entry: the caller has its whole answer
    failed,     ///< entry: the caller was told a failure after the start
    cancelled,  ///< the stream was cancelled, nobody waited for it
    claimed,    ///< entry: the idempotency key was claimed at the table
    gap,        ///< records were lost here; `detail` says how many
};

[[nodiscard]] std::string_view to_string(event what) noexcept;
[[nodiscard]] std::optional<event> find_event(std::string_view name) noexcept;

struct record {
    std::chrono::system_clock::time_point time = std::chrono::system_clock::now();
    event what = event::received;
    request_id request;
    dispatch_id dispatch; ///< none where no dispatch is meant
    std::string workspace;
    unsigned tier = 0;          ///< rank
    std::string target;         ///< model or service
    std::string backend_server; ///< where it concerns one
    std::uint64_t revision = 0; ///< in force for this decision
    std::optional<error_kind> reason;
    std::string detail; ///< what bound the decision, in a few words
};

/// Records of the same microsecond keep their order.
void sort_by_time(std::vector<record>& records);

} // namespace borageford::audit
