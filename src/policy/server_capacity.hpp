// How many requests a backend server may have, by its slots and by the tier of the request.
#pragma once

#include "policy/slot_scheduler_limits.hpp"
#include "policy/slot_server.hpp"
#include "policy/time.hpp"

namespace borageford::policy {

/// The maximum number of requests that all processes together send to the server at a time.
[[nodiscard]] double count_places(const slot_scheduler_limits& limits, const slot_server& server);

/// How many more requests fit into this process's share of the server, including places in the server's own
/// queue, less the slots reserved for higher tiers if the request is of the lowest one. Doesn't consider the
/// server's health or rate limit. slot_server::has_free_slot() considers only the slots.
[[nodiscard]] double slots_left(const slot_scheduler_limits& limits, const slot_server& server,
                                bool is_lowest);

/// slots_left(), but 0 during a cooldown, and at most one probe request after it.
[[nodiscard]] double available_slots(const slot_scheduler_limits& limits, const slot_server& server,
                                     bool is_lowest, time_point now);

} // namespace borageford::policy
