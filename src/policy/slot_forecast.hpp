// Forecasts how many slots of a service the new requests of each tier will need.
#pragma once

#include "policy/event_rate.hpp"
#include "policy/slot_request.hpp"
#include "policy/slot_time_model.hpp"

#include <cstddef>
#include <map>

namespace borageford::policy {

/// Measures the arrivals of new requests by tier and workspace. With the expected slot times of the tiers it
/// tells how many slots each tier will need. Arrivals of callers that come back aren't counted: they were
/// counted when they came first.
class slot_forecast {
public:
    void record_arrival(const slot_request& request, time_point now);

    /// The expected number of slots that the new requests of this tier need.
    [[nodiscard]] double demand(service_key service, int tier, const slot_time_model& times,
                                time_point now) const;
    /// The expected number of slots that the new requests of all higher tiers need.
    [[nodiscard]] double demand_above(service_key service, int tier, const slot_time_model& times,
                                      time_point now) const;
    /// The part of the tier's new requests that this request's workspace usually sends, 0 to 1.
    [[nodiscard]] double usual_share(const slot_request& request, time_point now) const;

private:
    struct tier_arrivals {
        event_rate recent;
        event_rate usual;
        std::map<workspace_key, event_rate> usual_by_workspace;
    };

    std::map<service_key, std::map<int, tier_arrivals>> m_services;
};

} // namespace borageford::policy
