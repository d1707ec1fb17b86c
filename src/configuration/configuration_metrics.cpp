// Gauges of a configuration_follower. Their values are read each time that the metrics are exported.
#include "configuration/configuration_metrics.hpp"

#include "configuration/configuration_follower.hpp"
#include "metrics/registry.hpp"

namespace borageford::configuration {

void add_configuration_metrics(metrics::registry& registry, const configuration_follower& follower) {
    registry.add_gauge("borageford_configuration_revision", "The revision in force in this process.", {},
                       [&follower] { return static_cast<double>(follower.revision()); });
    registry.add_gauge("borageford_configuration_failed_polls",
                       "Polls of the configuration's head that failed since the start.", {},
                       [&follower] { return static_cast<double>(follower.failed_polls()); });
    registry.add_gauge("borageford_configuration_freezes",
                       "Times this process stood still for so long that it asked for its configuration anew.",
                       {}, [&follower] { return static_cast<double>(follower.freezes()); });
}

} // namespace borageford::configuration
