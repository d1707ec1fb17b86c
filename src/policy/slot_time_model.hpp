// Estimates for how long a request will occupy a slot, learned from the requests that have ended.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/time.hpp"

#include <map>
#include <utility>

namespace borageford::policy {

/// The slot times of tiers may differ widely: a short check takes far less time than a long streamed answer.
/// Requests of one tier of a service are alike, so their mean is a fair estimate. Decisions that count
/// requests instead of slot time give a tier of long requests several times the room of a tier of short ones.
class slot_time_model {
public:
    /// Records that a served request of this service and tier occupied its slot for `busy`.
    void learn(service_key service, int tier, duration busy);

    /// The expected slot time of a request of this service and tier. While no request of the tier has ended,
    /// the mean of the service's other tiers; zero while none of the service has.
    [[nodiscard]] duration expect(service_key service, int tier) const;

private:
    /// Moving averages in ticks of `duration`, by service and tier.
    std::map<std::pair<service_key, int>, double> m_ticks;
};

} // namespace borageford::policy
