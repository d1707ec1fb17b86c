// Logs and counts what becomes known about requests that crash backend servers.
#pragma once

#include "gateway/backend_directory.hpp"
#include "metrics/registry.hpp"
#include "policy/crash_ledger.hpp"

namespace borageford::gateway {

/// Belongs to one thread's executor.
class crash_reporter {
public:
    crash_reporter(const backend_directory& backends, metrics::registry& registry)
        : m_backends(backends), m_registry(registry) {}

    /// A mark is new to the ledger.
    void report(const policy::crash_mark& mark, policy::crash_ledger::change change,
                const policy::crash_ledger& ledger);
    /// Marks of the ledger became void.
    void report(const policy::crash_clearance& clearance);

    /// Adds the gauges that show the state of the ledger, which must outlive the registry.
    void add_gauges(const policy::crash_ledger& ledger);

private:
    const backend_directory& m_backends;
    metrics::registry& m_registry;
};

} // namespace borageford::gateway
