// Computes the places of a server from its slots.
#include "policy/server_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// A small server is sent more requests beyond its slots than a large one: per slot, this many times as many,
/// but at most `max_queued_by_small` in total.
constexpr double small_queue_factor = 5.0 / 3;
constexpr double max_queued_by_small = 2;
/// Part of a small server's slots that the lowest tier leaves free, instead of
/// slot_scheduler_limits::reserved_slots.
constexpr double small_reserve = 0.25;

/// The maximum number of requests that a server may be sent at a time.
///
/// A small server has a higher limit per slot than a large one, for two reasons. With few slots, one rarely
/// comes free, so each time a slot would be idle for the round trip until the next request arrives. And
/// reserving two slots would take half of a server with four slots from the lowest tier, which would be
/// refused while these slots are empty.
double max_outstanding(const slot_scheduler_limits& limits, const slot_server& server, bool is_lowest) {
    const double slots = server.slots;
    const double queued_by_small =
        std::min(slots * (limits.outstanding_per_slot - 1) * small_queue_factor, max_queued_by_small);
    const double all = std::max(slots * limits.outstanding_per_slot, slots + queued_by_small);
    if (!is_lowest || server.has_fast_turnover()) {
        return all;
    }
    if (limits.reserve == reserve_kind::demand) {
        // slot_reserve keeps slots of the whole service free. Places beyond a server's slots aren't for the
        // lowest tier, since more urgent requests would have to wait behind its long ones.
        return slots;
    }
    const double reserved = limits.reserved_slots;
    const double unreserved = (slots - reserved) * limits.outstanding_per_slot;
    const double of_small = all - std::min(reserved, slots * small_reserve);
    return std::max(unreserved, std::min<double>(of_small, limits.max_lowest_tier_on_small_server));
}

} // namespace

double count_places(const slot_scheduler_limits& limits, const slot_server& server) {
    return std::ceil(max_outstanding(limits, server, false));
}

double slots_left(const slot_scheduler_limits& limits, const slot_server& server, bool is_lowest) {
    return std::max(1.0, max_outstanding(limits, server, is_lowest) * limits.share) - server.outstanding;
}

double available_slots(const slot_scheduler_limits& limits, const slot_server& server, bool is_lowest,
                       time_point now) {
    const auto availability = server.health.availability_at(now);
    if (availability != server_health::availability::full) {
        return availability == server_health::availability::probe && server.outstanding == 0 ? 1 : 0;
    }
    return slots_left(limits, server, is_lowest);
}

} // namespace borageford::policy
