// Holds servers back whose rate limits allow no request, and tells when they allow one again.
#pragma once

#include "policy/server_rate_limit.hpp"
#include "policy/slot_choice.hpp"
#include "policy/slot_server.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace borageford::policy {

/// Sets slot_server::is_rate_blocked. Its user has to update what depends on that member after each call that
/// gets a server.
class rate_limit_schedule {
public:
    [[nodiscard]] rate_share share() const noexcept { return m_share; }
    /// Sets the part of the limits that this process may use; set_share() of each server follows.
    void set_share(rate_share share) noexcept { m_share = share; }

    /// Sets the limit that a server names, in requests per second; nothing if it names none.
    void set_limit(slot_server& server, std::optional<double> per_second, time_point now);
    /// Applies the present share to a server.
    void apply_share(slot_server& server, time_point now);
    /// Forgets what was saved up within the server's limit.
    void restart(slot_server& server, time_point now);
    /// Counts a request that is sent to the server.
    void take(slot_server& server, time_point now);
    /// Examines a server that take_due() has returned.
    void examine(slot_server& server, time_point now);

    /// A server and the time until which it was to be held back.
    struct due_server {
        server_key server = 0;
        time_point until;
    };
    /// Returns the servers that may be held back no longer. One whose `until` differs from its
    /// slot_server::rate_blocked_until was examined since.
    [[nodiscard]] std::vector<due_server> take_due(time_point now);
    /// Returns the servers whose limits were used up by take() since the last call, each once for each time.
    [[nodiscard]] std::vector<server_key> take_used_up();

private:
    rate_share m_share;
    std::multimap<time_point, server_key> m_waits; ///< by the time until which a server is held back
    std::vector<server_key> m_used_up;
};

/// Whether there are servers, and each of them is held back by its rate limit.
[[nodiscard]] bool are_all_rate_blocked(slot_servers servers);
/// The expected time until a request gets a slot that has this many others ahead of it, while all servers are
/// held back by their rate limits; `duration::max()` if the limits allow none.
[[nodiscard]] duration expect_rate_wait(slot_servers servers, std::size_t ahead, time_point now);

} // namespace borageford::policy
