// Names the services and servers, which the policy knows by hashes only.
#include "gateway/engine_memory_monitor.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"

#include <chrono>

namespace borageford::gateway {

namespace {

constexpr std::chrono::milliseconds update_period{1000};

/// The name of the service with this key; "unknown" if the configuration has none.
std::string name_of(policy::service_key service, const routing_snapshot& configuration) {
    const auto table = *configuration.read();
    if (table != nullptr) {
        for (const auto& each : table->document().services) {
            if (hash_bytes(each.name) == service) {
                return each.name;
            }
        }
    }
    return "unknown";
}

} // namespace

void engine_memory_monitor::start(const boost::asio::any_io_executor& executor, timer_service& timers) {
    m_timer = timers.every(executor, update_period, [this] { update(); });
}

void engine_memory_monitor::update() {
    const bool grants = m_slots.source() != coordination::slot_source::coordinator;
    for (const auto& use : m_slots.measure_memory()) {
        auto& values = gauges_of(name_of(use.service, m_configuration));
        values.reserved.store(grants ? use.reserved : 0);
        values.free.store(grants ? use.free : 0);
        values.waits.store(static_cast<double>(use.waits));
    }
}

engine_memory_monitor::gauges& engine_memory_monitor::gauges_of(const std::string& service) {
    auto& values = m_gauges[service];
    if (values == nullptr) {
        values = std::make_shared<gauges>();
        const metrics::labels labels{{"service", service}};
        m_registry.add_gauge("borageford_gateway_memory_reserved_tokens",
                             "Tokens of the engines' memory that requests take, as far as this process "
                             "grants the slots.",
                             labels, [values] { return values->reserved.load(); });
        m_registry.add_gauge("borageford_gateway_memory_free_tokens",
                             "Tokens of the engines' memory that this process may give to further requests.",
                             labels, [values] { return values->free.load(); });
        m_registry.add_gauge("borageford_gateway_memory_waits",
                             "Requests that found the engines' memory too full, since the process started.",
                             labels, [values] { return values->waits.load(); });
    }
    return *values;
}

void engine_memory_monitor::report(const policy::slot_scheduler::memory_overflow& overflow) const {
    const auto server = m_backends.find(overflow.server);
    events::write(events::event_kind::engine_memory_exceeded,
                  {{"service", name_of(overflow.service, m_configuration)},
                   {"backend", server != nullptr ? server->record().id : std::string("unknown")},
                   {"held_tokens", overflow.held},
                   {"limit_tokens", overflow.limit}});
}

} // namespace borageford::gateway
