// What a process's metrics say of its configuration.
#pragma once

namespace borageford::metrics {
class registry;
} // namespace borageford::metrics

namespace borageford::configuration {

class configuration_follower;

/// Adds the gauges; the follower must outlive the registry's last exposition.
void add_configuration_metrics(metrics::registry& registry, const configuration_follower& follower);

} // namespace borageford::configuration
