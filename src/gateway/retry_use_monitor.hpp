// Writes to the metrics and to the log how much of the retry budgets is used.
#pragma once

#include "gateway/gateway_context.hpp"
#include "metrics/registry.hpp"
#include "policy/server_retry_budget.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace borageford::gateway {

/// Belongs to one thread's executor.
class retry_use_monitor {
public:
    retry_use_monitor(const routing_snapshot& configuration, metrics::registry& registry)
        : m_configuration(configuration), m_registry(registry) {}

    /// Sets the gauges of the service, and logs that its budget has run out.
    void report(policy::service_key service, const policy::server_retry_budget::use& current,
                bool has_run_out);

private:
    /// Values of the gauges, which the thread that serves the metrics reads.
    struct gauges {
        std::atomic<double> retries;
        std::atomic<double> allowed;
    };

    [[nodiscard]] std::string name_of(policy::service_key service) const;
    [[nodiscard]] gauges& gauges_of(const std::string& service);

    const routing_snapshot& m_configuration;
    metrics::registry& m_registry;
    std::map<std::string, std::shared_ptr<gauges>> m_gauges;
};

} // namespace borageford::gateway
