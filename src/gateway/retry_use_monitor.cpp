// Names the services, which the policy knows by the hashes of their names only.
#include "gateway/retry_use_monitor.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"

namespace borageford::gateway {

void retry_use_monitor::report(policy::service_key service, const policy::server_retry_budget::use& current,
                               bool has_run_out) {
    const auto name = name_of(service);
    auto& values = gauges_of(name);
    values.retries.store(current.retries);
    values.allowed.store(current.allowed);
    if (has_run_out) {
        events::write(events::event_kind::retry_budget_used_up, {{"service", name},
                                                                 {"retries", current.retries},
                                                                 {"allowed", current.allowed},
                                                                 {"by_others", current.by_others}});
    }
}

std::string retry_use_monitor::name_of(policy::service_key service) const {
    const auto table = *m_configuration.read();
    if (table != nullptr) {
        for (const auto& each : table->document().services) {
            if (hash_bytes(each.name) == service) {
                return each.name;
            }
        }
    }
    return "unknown";
}

retry_use_monitor::gauges& retry_use_monitor::gauges_of(const std::string& service) {
    auto& values = m_gauges[service];
    if (values == nullptr) {
        values = std::make_shared<gauges>();
        m_registry.add_gauge("borageford_gateway_retries",
                             "Retries that this process has granted in the window of the retry budget.",
                             {{"service", service}}, [values] { return values->retries.load(); });
        m_registry.add_gauge("borageford_gateway_retries_allowed",
                             "Retries that this process may grant in that window.", {{"service", service}},
                             [values] { return values->allowed.load(); });
    }
    return *values;
}

} // namespace borageford::gateway
