// Counts in the metrics what became of the returns of refused callers.
#pragma once

#include "metrics/registry.hpp"
#include "policy/return_promise.hpp"

namespace borageford::gateway {

class return_monitor {
public:
    explicit return_monitor(metrics::registry& registry) : m_registry(registry) {}

    /// Adds to the counters.
    void count(const policy::return_counts& added);

private:
    metrics::registry& m_registry;
};

} // namespace borageford::gateway
