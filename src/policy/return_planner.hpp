// Decides when a caller whose request is refused for load should come back.
#pragma once

#include "policy/return_ledger.hpp"
#include "policy/slot_forecast.hpp"
#include "policy/slot_request.hpp"
#include "policy/slot_time_model.hpp"

#include <cstdint>
#include <optional>

namespace borageford::policy {

/// What the process that grants slots can use for the requests of a tier.
struct tier_room {
    double slots = 0;         ///< slots in use or free, of all servers that take new requests
    double minimum_share = 0; ///< part of them that the tier gets whatever the higher tiers need
    double promised_part = 0; ///< part of the tier's slots that may be promised
};

/// A refused caller that comes back into the same overload has waited for nothing. It is told a time at which
/// the forecast leaves room for its request, and that room is kept for it. A caller for which there is no
/// such time within its deadline is told that coming back is useless.
class return_planner {
public:
    /// When a refused caller should come back.
    struct plan {
        refusal_reason reason = refusal_reason::no_slot_in_time;
        duration retry_after{};
    };

    void record_arrival(const slot_request& request, time_point now) {
        m_forecast.record_arrival(request, now);
    }
    /// Plans the return of a request that is refused; nothing if too little is known for a plan. `draw` is a
    /// random number in [0, 1).
    [[nodiscard]] std::optional<plan> plan_return(const slot_request& request, const tier_room& room,
                                                  const slot_time_model& times, double draw, time_point now);
    /// The slots that the requests of this tier which wait longest can expect: those that neither higher
    /// tiers nor new requests of the tier need.
    [[nodiscard]] double spare_slots(const slot_request& request, const tier_room& room,
                                     const slot_time_model& times, time_point now) const;

    /// Records that the request was granted a slot.
    void record_grant(const slot_request& request, time_point now);

    [[nodiscard]] return_ledger& ledger() noexcept { return m_ledger; }
    [[nodiscard]] return_counts& counts() noexcept { return m_ledger.counts(); }

private:
    slot_forecast m_forecast;
    return_ledger m_ledger;
};

} // namespace borageford::policy
