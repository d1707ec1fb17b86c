// Implements return_planner: compares the expected slot time of all tiers with the slots that there are.
#include "policy/return_planner.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Clients come back after a third of the time that they have left at the latest, whatever they are told.
constexpr double max_part_of_time_left = 1.0 / 3;
/// The slots that the higher tiers leave.
double slots_of_tier(const slot_request& request, const tier_room& room, const slot_forecast& forecast,
                     const slot_time_model& times, time_point now) {
    const double above = forecast.demand_above(request.service, request.tier, times, now);
    return std::max(room.slots - above, room.slots * room.minimum_share);
}

} // namespace

double return_planner::spare_slots(const slot_request& request, const tier_room& room,
                                   const slot_time_model& times, time_point now) const {
    const double own = m_forecast.demand(request.service, request.tier, times, now);
    return std::max(slots_of_tier(request, room, m_forecast, times, now) - own, 0.0);
}

void return_planner::record_grant(const slot_request& request, time_point now) {
    counts().kept += request.is_promised ? 1 : 0;
    m_ledger.cancel(request.fingerprint, now);
}

std::optional<return_planner::plan> return_planner::plan_return(const slot_request& request,
                                                                const tier_room& room,
                                                                const slot_time_model& times, double draw,
                                                                time_point now) {
    const auto slot_time = times.expect(request.service, request.tier);
    if (room.promised_part <= 0) {
        return std::nullopt; // no promise is planned, which doesn't mean that there will be no room
    }
    // A request that was sent to a server may have run: its caller isn't told to come back.
    if (request.fingerprint == 0 || request.sends > 0 || slot_time == duration::zero()) {
        return std::nullopt;
    }
    const auto left = std::max<duration>(request.deadline - now, duration::zero());
    const double of_tier = slots_of_tier(request, room, m_forecast, times, now);
    const auto longest = from_seconds(to_seconds(left) * max_part_of_time_left);
    const return_terms terms{slot_time, of_tier * room.promised_part, m_forecast.usual_share(request, now),
                             std::min<duration>(longest, max_return_delay), draw};
    if (const auto due = m_ledger.promise(request, terms, now)) {
        return plan{refusal_reason::return_promised, *due - now};
    }
    ++m_ledger.counts().no_room;
    return plan{refusal_reason::no_slot_in_time, left};
}

} // namespace borageford::policy
