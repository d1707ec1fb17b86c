// Implements demand_reserve: compares the arrivals of higher tiers with the slots that come free.
#include "policy/slot_reserve.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace borageford::policy {

namespace {

/// Part of its target that a request of a higher tier may wait for a slot that a lower tier occupies.
constexpr double tolerated_wait_in_targets = 0.1;
/// Number of standard deviations above the mean number of arrivals (for random arrivals, its square root) for
/// which slots are kept.
constexpr double kept_deviations = 2;

/// The rate at which running requests of all tiers release their slots.
double slots_freed_per_second(std::span<const tier_occupancy> occupancies) {
    double result = 0;
    for (const auto& [tier, running, slot_time] : occupancies) {
        result += slot_time > duration::zero() ? running / to_seconds(slot_time) : 0;
    }
    return result;
}

struct arrival_recorder {
    int tier = 0;
    duration target{};
    time_point now;

    void operator()(fixed_reserve& /*reserve*/) const {}
    void operator()(demand_reserve& reserve) const { reserve.record_arrival(tier, target, now); }
};

struct kept_slots {
    int tier = 0;
    std::span<const tier_occupancy> occupancies;
    time_point now;

    double operator()(const fixed_reserve& /*reserve*/) const { return 0; }
    double operator()(const demand_reserve& reserve) const {
        return reserve.slots_kept_from(tier, occupancies, now);
    }
};

} // namespace

void demand_reserve::record_arrival(int tier, duration target, time_point now) {
    auto& demand = m_demands[tier];
    demand.arrivals.record(now);
    demand.target = target;
}

double demand_reserve::slots_kept_from(int tier, std::span<const tier_occupancy> occupancies,
                                       time_point now) const {
    double arriving = 0;
    double shortest_wait = std::numeric_limits<double>::max();
    for (const auto& [other, demand] : m_demands) {
        if (other >= tier) {
            break;
        }
        const double wait = to_seconds(demand.target) * tolerated_wait_in_targets;
        arriving += demand.arrivals.per_second(now) * wait;
        shortest_wait = std::min(shortest_wait, wait);
    }
    if (arriving <= 0) {
        return 0;
    }
    const double needed = arriving + kept_deviations * std::sqrt(arriving);
    return std::max(0.0, needed - slots_freed_per_second(occupancies) * shortest_wait);
}

void record_arrival(slot_reserve& reserve, int tier, duration target, time_point now) {
    std::visit(arrival_recorder{tier, target, now}, reserve);
}

double slots_kept_from(const slot_reserve& reserve, int tier, std::span<const tier_occupancy> occupancies,
                       time_point now) {
    return std::visit(kept_slots{tier, occupancies, now}, reserve);
}

slot_reserve make_slot_reserve(reserve_kind kind) {
    return kind == reserve_kind::demand ? slot_reserve(demand_reserve()) : slot_reserve(fixed_reserve());
}

} // namespace borageford::policy
