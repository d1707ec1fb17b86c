// Metrics of a process's configuration: the revision in force, failed polls and detected suspensions.
#pragma once

namespace borageford::metrics {
class registry;
} // namespace borageford::metrics

namespace borageford::configuration {

class configuration_follower;

/// Adds the gauges to the registry. The follower must exist as long as the registry exports metrics.
void add_configuration_metrics(metrics::registry& registry, const configuration_follower& follower);

} // namespace borageford::configuration
