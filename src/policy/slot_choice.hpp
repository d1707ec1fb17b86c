// Chooses a backend server for a request among those that have room for it. Used by gateways, as part of
// slot_scheduler; entries choose servers with placement.
#pragma once

#include "policy/slot_server.hpp"

#include <cstddef>
#include <span>

namespace borageford::policy {

using slot_servers = std::span<slot_server* const>;

/// Maximum number of servers that are compared for one request. The best of many servers is hardly better
/// than the best of this many. A process that compares thousands of servers for each waiting request can't
/// work off the queue that forms after all gateways were killed.
inline constexpr std::size_t max_considered_servers = 64;

/// Whether some server, busy or not, could send the request's first event within its target.
[[nodiscard]] bool can_meet_target(const slot_request& request, slot_servers all, time_point now);

/// The servers and the queue that choose_server() takes into account.
struct slot_choice_terms {
    slot_servers available; ///< servers with room
    slot_servers all;       ///< all servers of the service, including busy ones
    bool is_in_time = true; ///< the request waits in the queue of requests that can still meet their target
    time_point now;
    double memory = 0; ///< tokens of a server's memory that the request needs
    /// Prefer servers that don't lose many of their requests, see slot_scheduler_limits.
    bool avoids_failing = false;
    bool is_lowest = false; ///< the request is of the lowest tier that waits for the service
};

/// Chooses the server for a request; nullptr if the request should wait for a better one.
[[nodiscard]] slot_server* choose_server(const slot_request& request, const slot_choice_terms& terms);

} // namespace borageford::policy
