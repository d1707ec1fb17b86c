// Decides how many slots of a service lower tiers leave free, so that requests of higher tiers find one at
// once.
#pragma once

#include "policy/event_rate.hpp"
#include "policy/time.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <variant>

namespace borageford::policy {

/// How the reserve is determined.
enum class reserve_kind : std::uint8_t {
    fixed,  ///< a number of slots of each server (slot_scheduler_limits::reserved_slots)
    demand, ///< what higher tiers are expected to need before enough slots come free (demand_reserve)
};

/// The slots of a service that requests of one tier occupy.
struct tier_occupancy {
    int tier = 0;
    double running = 0;   ///< requests in slots now
    duration slot_time{}; ///< for how long each of them is expected to occupy its slot; zero: unknown
};

/// The lowest tier leaves a fixed number of slots of each server free (server_capacity), whether or not
/// higher tiers send requests.
struct fixed_reserve {};

/// Every tier below the highest leaves as many free slots of the whole service as the higher tiers will
/// probably need in the short time that they may wait, less those that come free in this time. While slots
/// come free faster than requests of higher tiers arrive, nothing is kept: the next free slot is theirs
/// anyway. If long requests occupy most slots, few come free, and fewer of the long ones are started.
///
/// Answers bursts of short urgent requests beside long ones of lower tiers, on servers of any size and speed.
class demand_reserve {
public:
    /// Records that a request of this tier with this latency target arrived.
    void record_arrival(int tier, duration target, time_point now);

    /// Number of slots that requests of `tier` leave free.
    [[nodiscard]] double slots_kept_from(int tier, std::span<const tier_occupancy> occupancies,
                                         time_point now) const;

private:
    struct tier_demand {
        event_rate arrivals;
        duration target{}; ///< of the latest request
    };

    std::map<int, tier_demand> m_demands;
};

using slot_reserve = std::variant<fixed_reserve, demand_reserve>;

[[nodiscard]] slot_reserve make_slot_reserve(reserve_kind kind);

/// A request of this tier with this latency target arrived.
void record_arrival(slot_reserve& reserve, int tier, duration target, time_point now);

/// Number of slots of the whole service that requests of `tier` leave free; 0 for a fixed reserve, which
/// applies to single servers.
[[nodiscard]] double slots_kept_from(const slot_reserve& reserve, int tier,
                                     std::span<const tier_occupancy> occupancies, time_point now);

} // namespace borageford::policy
