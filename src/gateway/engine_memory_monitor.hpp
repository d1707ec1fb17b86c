// Writes to the metrics and to the log how much of the engines' memory is in use.
#pragma once

#include "base/timer_service.hpp"
#include "coordination/slot_broker.hpp"
#include "gateway/backend_directory.hpp"
#include "gateway/gateway_context.hpp"
#include "metrics/registry.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace borageford::gateway {

/// Belongs to one thread's executor.
class engine_memory_monitor {
public:
    engine_memory_monitor(const routing_snapshot& configuration, const backend_directory& backends,
                          const coordination::slot_broker& slots, metrics::registry& registry)
        : m_configuration(configuration), m_backends(backends), m_slots(slots), m_registry(registry) {}

    /// Begins to set the gauges of each service once a second.
    void start(const boost::asio::any_io_executor& executor, timer_service& timers);
    /// Logs that an engine seems to have less memory than it was said to have.
    void report(const policy::slot_scheduler::memory_overflow& overflow) const;

private:
    /// Values of the gauges, which the thread that serves the metrics reads.
    struct gauges {
        std::atomic<double> reserved;
        std::atomic<double> free;
        std::atomic<double> waits;
    };

    void update();
    [[nodiscard]] gauges& gauges_of(const std::string& service);

    const routing_snapshot& m_configuration;
    const backend_directory& m_backends;
    const coordination::slot_broker& m_slots;
    metrics::registry& m_registry;
    std::map<std::string, std::shared_ptr<gauges>> m_gauges;
    timer_subscription m_timer;
};

} // namespace borageford::gateway
