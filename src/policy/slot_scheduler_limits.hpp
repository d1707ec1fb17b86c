// The settings of a slot_scheduler.
#pragma once

#include "policy/slot_floor.hpp"
#include "policy/slot_reserve.hpp"

namespace borageford::policy {

/// The settings of a slot_scheduler.
struct slot_scheduler_limits {
    /// Maximum number of requests sent to a server per slot. A value slightly above 1 keeps a slot from being
    /// idle for the round trip between the end of one request and the start of the next. But a request that
    /// waits inside a server can't be overtaken by a more urgent one, so the value should stay small.
    double outstanding_per_slot = 1.3;
    /// Which slots lower tiers leave free for higher ones.
    reserve_kind reserve = reserve_kind::fixed;
    /// With reserve_kind::fixed: number of slots of each server that the lowest tier leaves free, so that
    /// requests of higher tiers find a free slot at once.
    unsigned reserved_slots = 2;
    /// With reserve_kind::fixed: a small server may hold up to this many requests of the lowest tier even if
    /// it then has fewer free slots than `reserved_slots`; a quarter of its slots still stay free.
    unsigned max_lowest_tier_on_small_server = 5;
    /// Maximum wait of a request before it is refused, as a multiple of its latency target.
    double max_wait_in_targets = 1.5;
    /// Maximum wait of a retried request (slot_request::previous_refusals above 0: its caller sends it again
    /// after a refusal), as a multiple of its latency target. A retried request is always treated as late.
    /// Callers of streams that wait for longer than this give up by themselves.
    double max_wait_of_retry_in_targets = 2;
    /// A request is refused on arrival (with `promises_returns`: treated as late) if its expected wait in the
    /// queue exceeds this multiple of its latency target, because it would be late by then: after 0.4 times
    /// its target, a request without a slot is moved to the queue of late requests.
    double max_expected_wait_in_targets = 0.4;
    /// Whether servers that lose many of their requests (failure_rate) only get requests while no other
    /// server is expected to serve them as well.
    bool avoids_failing_servers = false;
    /// Refused callers are told when there will be room for their requests, and it is kept for them (see
    /// return_planner).
    bool promises_returns = false;
    /// Part of a tier's slots that is promised to its refused callers at most. They are late when they come
    /// back, and each of them takes a slot from a new request that would be in time.
    double promised_part = 0.1;
    /// Maximum wait of a request that came back as it was promised, as a multiple of its latency target.
    double max_wait_of_promised_in_targets = 3;
    slot_floor_limits floor{}; ///< guaranteed minimum shares of the tiers
    /// Share of all slots that this process may grant; less than 1 if other processes grant the remaining
    /// slots.
    double share = 1;
};

} // namespace borageford::policy
