// Bounds the lines of each kind of event, and counts those that are left out.
#pragma once

#include "events/event_kind.hpp"
#include "policy/token_bucket.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace borageford::events {

class rate_bound {
public:
    explicit rate_bound(policy::time_point now);

    /// Whether a line of this kind may be written now; then the value is how many were left out before it.
    [[nodiscard]] std::optional<std::uint64_t> admit(event_kind kind, policy::time_point now);

private:
    struct kind_state {
        policy::token_bucket bucket;
        std::uint64_t left_out = 0;
    };

    std::vector<kind_state> m_kinds; ///< in the order of the enumeration
};

} // namespace borageford::events
