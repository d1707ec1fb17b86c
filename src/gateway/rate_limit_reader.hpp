// Reads the rate limits that backend servers name in their answers, and reports their changes.
#pragma once

#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/deployment.hpp"
#include "http/field_list.hpp"
#include "metrics/registry.hpp"
#include "policy/rate_limit_table.hpp"
#include "routing/backend_record.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Belongs to one thread's executor.
class rate_limit_reader {
public:
    rate_limit_reader(const deployment& current_deployment, const backend_directory& backends,
                      coordination::slot_broker& slots, metrics::registry& registry);

    /// Reads the head of an answer of `server` to the request `request_id`, which was sent at `asked`. A
    /// field that can't be read changes nothing: it neither names a limit nor ends one.
    void read_answer(const routing::backend_record& server, const http::field_list& fields,
                     std::string_view request_id, std::chrono::steady_clock::time_point asked);

    /// Writes a change of a server's limit to the log and to the metrics.
    void report_change(const policy::rate_limit_table::change& change);
    /// Counts that a server's limit allows no further request for now.
    void count_used_up(policy::server_key server);

private:
    void set_gauge(const std::string& backend, double limit);

    const deployment& m_deployment;
    const backend_directory& m_backends;
    coordination::slot_broker& m_slots;
    metrics::registry& m_registry;
    /// The values of the gauges by server; read by the thread that serves the metrics.
    std::map<std::string, std::shared_ptr<std::atomic<double>>, std::less<>> m_gauges;
};

} // namespace borageford::gateway
