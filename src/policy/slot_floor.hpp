// Which tiers of a service are owed slots before all others, so that none starves.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <map>

namespace borageford::policy {

struct slot_floor_limits {
    /// Share of a service's slot time that a waiting tier gets before all others.
    double share = 0.08;
    /// Of all tiers below the highest together: the rest stays in the order of tiers, however many there are.
    double share_of_all = 0.25;
};

/// In strict order of tiers a lower one gets what the higher ones leave, and under lasting load that is
/// nothing, although its requests may be cheap: tags wait for drafts that take ten times as long, and their
/// callers are refused for hardly any gain to others. A floor in counts would let dear requests take as many
/// slots; so it is one of slot time.
///
/// Invariant: a tier's running requests are those begun and not ended.
class slot_floor {
public:
    explicit slot_floor(slot_floor_limits limits) : m_limits(limits) {}

    /// A request of this tier got a slot, or left it.
    void begin(int tier, time_point now);
    void end(int tier, time_point now);

    /// Slots that a tier which waits may be given now before all others; `floors`: tiers below the highest
    /// that wait.
    [[nodiscard]] std::size_t owed(int tier, std::size_t floors, time_point now);

    /// Share of the slot time that was given lately, 0 to 1.
    [[nodiscard]] double share(int tier, time_point now);

private:
    struct tier_use {
        std::size_t running = 0;
        double recent = 0; ///< slots in use, averaged over the time before
    };

    void advance(time_point now);
    [[nodiscard]] std::size_t running() const;

    slot_floor_limits m_limits;
    std::map<int, tier_use> m_tiers;
    time_point m_updated = time_point::min();
};

} // namespace borageford::policy
