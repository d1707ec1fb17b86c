// Guarantees each tier of a service a minimum share of the slot time, so that no tier starves.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <map>

namespace borageford::policy {

/// The sizes of the guaranteed minimum shares.
struct slot_floor_limits {
    /// Minimum share of a service's slot time of each tier that has waiting requests. A tier below its
    /// minimum is granted slots before all other tiers.
    double share = 0.08;
    /// Upper bound of the sum of the minimum shares of all tiers below the highest. The remaining slot time
    /// is granted strictly in the order of tiers, however many tiers there are.
    double share_of_all = 0.25;
};

/// If slots were granted strictly in the order of tiers, a lower tier would only get what the higher tiers
/// leave, which is nothing under sustained load. Its requests may be cheap: for example, short tagging
/// requests would wait for drafts that take ten times as long, and refusing their callers would hardly help
/// the higher tiers. The minimum is a share of slot time and not of the number of requests, since with a
/// share of the number, expensive requests of a low tier would occupy far more than that share of the slots.
///
/// Invariant: a tier's running requests are those that were begun and not yet ended.
class slot_floor {
public:
    explicit slot_floor(slot_floor_limits limits) : m_limits(limits) {}

    /// A request of this tier was granted a slot.
    void begin(int tier, time_point now);
    /// A request of this tier released its slot.
    void end(int tier, time_point now);

    /// Number of slots that a tier with waiting requests may be granted now before all other tiers.
    /// `waiting_tiers` is the number of tiers below the highest that have waiting requests.
    [[nodiscard]] std::size_t slots_below_minimum(int tier, std::size_t waiting_tiers, time_point now);

    /// Calls `visit(tier, running requests of the tier)` for each tier.
    template <typename Visitor>
    void for_each_running(const Visitor& visit) const;

    /// The tier's share of the slot time of the last seconds, 0 to 1.
    [[nodiscard]] double share(int tier, time_point now);

private:
    struct tier_use {
        std::size_t running = 0; ///< requests in slots now
        double recent = 0;       ///< moving average of `running`
    };

    /// Updates the moving averages to `now`.
    void advance(time_point now);
    /// Running requests of all tiers.
    [[nodiscard]] std::size_t running() const;

    slot_floor_limits m_limits;
    std::map<int, tier_use> m_tiers;
    time_point m_updated = time_point::min(); ///< time of the last advance(); time_point::min(): never
};

template <typename Visitor>
void slot_floor::for_each_running(const Visitor& visit) const {
    for (const auto& [tier, use] : m_tiers) {
        visit(tier, use.running);
    }
}

} // namespace borageford::policy
