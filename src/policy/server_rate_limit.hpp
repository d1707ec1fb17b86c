// Limits how many requests a second this process grants slots of one backend server to.
#pragma once

#include "policy/time.hpp"
#include "policy/token_bucket.hpp"

namespace borageford::policy {

/// The part of every server's rate limit that this process may use, from 0 to 1.
struct rate_share {
    double share = 1;
    /// Whether this process grants without a coordinator, next to others that do the same. Parts that are too
    /// small for this are then unused; see server_rate_limit.
    bool is_local = false;
    bool operator==(const rate_share&) const = default;
};

/// A token bucket with one token for each request. It starts empty, so that a process that begins to grant
/// doesn't add a burst to what another process has just granted.
///
/// Of a server that names a limit of nearly 0, a coordinator still requests an answer now and then: a server
/// that is never asked can't say that it needs no limit any more. Without a coordinator, many processes with
/// small parts could each have saved up one token and use them at the same moment, so a part below a minimum
/// rate isn't used at all.
class server_rate_limit {
public:
    /// `named` is the limit that the server names, in requests per second.
    server_rate_limit(double named, rate_share share, time_point now);

    /// Changes the limit or the share; what is saved up is kept, as far as the new burst allows.
    void set_named(double named, time_point now);
    void set_share(rate_share share, time_point now);
    /// Empties the bucket, because another process has granted until now.
    void restart(time_point now);

    /// Requests per second that this process may grant.
    [[nodiscard]] double per_second() const;
    [[nodiscard]] bool has_room(time_point now) const;
    /// Time until there is room for another request; `duration::max()` if there never will be.
    [[nodiscard]] duration wait(time_point now) const;
    void take(time_point now);

private:
    [[nodiscard]] double burst() const;

    double m_named;
    rate_share m_share;
    token_bucket m_tokens;
};

} // namespace borageford::policy
