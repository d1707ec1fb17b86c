// Knows which rate limits backend servers have named, from the answers that this process and other gateways
// received.
#pragma once

#include "policy/rate_limit_notice.hpp"
#include "policy/time.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace borageford::policy {

/// The latest notice of each server. Of two answers the one that the server wrote later is in force. Where
/// that can't be known, because the times at which the two may have been written overlap, the one with the
/// smaller limit is: it is replaced by the next answer to a request that was sent after it.
class rate_limit_table {
public:
    /// A server's limit has changed.
    struct change {
        rate_limit_notice notice;     ///< the notice that is in force now
        std::optional<double> former; ///< the limit before it; nothing if there was none
    };

    /// Takes over the notice of an answer that this process received. An answer without a limit of a server
    /// that has never named one isn't recorded.
    std::optional<change> observe(const rate_limit_notice& notice, time_point now);
    /// Takes over a notice that another gateway sent.
    std::optional<change> merge(const rate_limit_notice& notice, time_point now);

    /// The limit of a server; nothing if it has none.
    [[nodiscard]] std::optional<double> limit_of(server_key server) const;
    [[nodiscard]] bool is_empty() const noexcept { return m_notices.empty(); }

    /// At most `max_count` notices, those that were heard last first.
    [[nodiscard]] std::vector<rate_limit_notice> latest(std::size_t max_count) const;
    /// The notices to send with a heartbeat: those whose limit has changed recently, and some of the others,
    /// in turn.
    [[nodiscard]] std::vector<rate_limit_notice> take_next(time_point now);

    /// Makes all notices older. To be called when the clock has missed some time.
    void add_age(duration missed);
    /// Drops what is no longer needed: notices that name no limit after some time, and notices of servers
    /// that aren't in use any more.
    void expire(time_point now, const std::function<bool(server_key)>& is_in_use);

private:
    /// A server whose limit has changed here, and when.
    struct changed_server {
        time_point at;
        server_key server = 0;
    };

    void make_room();
    void record_change(server_key server, time_point now);

    std::map<server_key, rate_limit_notice> m_notices;
    std::deque<changed_server>
        m_changes;              ///< the recent changes in order of time, at most one for each server
    server_key m_last_sent = 0; ///< the notice after which the next turn of take_next() begins
};

} // namespace borageford::policy
