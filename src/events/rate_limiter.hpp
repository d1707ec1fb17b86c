// Limits how many lines each kind of event may write per second, and counts the lines that were dropped.
#pragma once

#include "events/event_kind.hpp"
#include "policy/token_bucket.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace borageford::events {

/// Not thread-safe: the caller must serialize access.
class rate_limiter {
public:
    explicit rate_limiter(policy::time_point now);

    /// Tells whether a line of this kind may be written now. If it may, the result is how many lines of the
    /// kind were dropped since the last one that was admitted; otherwise nothing, and the line counts as
    /// dropped.
    [[nodiscard]] std::optional<std::uint64_t> admit(event_kind kind, policy::time_point now);

private:
    struct kind_state {
        policy::token_bucket bucket;
        std::uint64_t left_out = 0; ///< lines dropped since the last one that was admitted
    };

    std::vector<kind_state> m_kinds; ///< in the order of the enumeration event_kind
};

} // namespace borageford::events
