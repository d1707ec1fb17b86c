// Decodes the field with the function of the deployment, and logs what can't be decoded.
#include "gateway/rate_limit_reader.hpp"

#include "coordination/broker_events.hpp"
#include "events/event_log.hpp"

#include <exception>
#include <optional>
#include <utility>

namespace borageford::gateway {

namespace {

void report_unreadable(std::string_view backend, std::string_view request_id, std::string_view value,
                       std::string_view reason) {
    events::write(events::event_kind::backend_limit_unreadable, {{"backend", backend},
                                                                 {"request", request_id},
                                                                 {"value", events::excerpt(value)},
                                                                 {"reason", reason}});
}

std::int64_t age_ms(std::chrono::steady_clock::time_point since) {
    const auto age = std::chrono::steady_clock::now() - since;
    return std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
}

} // namespace

rate_limit_reader::rate_limit_reader(const deployment& current_deployment, const backend_directory& backends,
                                     coordination::slot_broker& slots, metrics::registry& registry)
    : m_deployment(current_deployment), m_backends(backends), m_slots(slots), m_registry(registry) {}

void rate_limit_reader::read_answer(const routing::backend_record& server, const http::field_list& fields,
                                    std::string_view request_id,
                                    std::chrono::steady_clock::time_point asked) {
    const auto& name = m_deployment.fields.rate_limit;
    const auto value = fields.find(name);
    if (!value.has_value()) {
        m_slots.observe_rate_limit(server.key(), std::nullopt, asked);
        return;
    }
    if (fields.count(name) > 1) {
        report_unreadable(server.id, request_id, *value, "the answer has several of these fields");
        return;
    }
    try {
        m_slots.observe_rate_limit(server.key(), m_deployment.decode_rate_limit(*value), asked);
    } catch (const std::exception& error) {
        report_unreadable(server.id, request_id, *value, error.what());
    }
}

void rate_limit_reader::report_change(const policy::rate_limit_table::change& change) {
    const auto server = m_backends.find(change.notice.server);
    const auto id = server != nullptr ? server->record().id : std::string("unknown");
    const auto heard_by = coordination::describe_member(change.notice.heard_by);
    const auto former = change.former.value_or(0);
    if (change.notice.limit.has_value()) {
        events::write(events::event_kind::backend_limit_named, {{"backend", id},
                                                                {"limit", *change.notice.limit},
                                                                {"former", former},
                                                                {"heard_by", heard_by},
                                                                {"age_ms", age_ms(change.notice.heard)}});
    } else {
        events::write(events::event_kind::backend_limit_ended, {{"backend", id},
                                                                {"former", former},
                                                                {"heard_by", heard_by},
                                                                {"age_ms", age_ms(change.notice.heard)}});
    }
    if (server != nullptr) {
        set_gauge(id, change.notice.limit.value_or(0));
    }
}

void rate_limit_reader::count_used_up(policy::server_key key) {
    const auto server = m_backends.find(key);
    m_registry
        .get_counter("borageford_gateway_backend_limit_used_up_total",
                     "Times that a server got the last request that its rate limit allows for a while.",
                     {{"backend", server != nullptr ? server->record().id : std::string("unknown")}})
        .add();
}

void rate_limit_reader::set_gauge(const std::string& backend, double limit) {
    auto& value = m_gauges[backend];
    if (value == nullptr) {
        value = std::make_shared<std::atomic<double>>();
        m_registry.add_gauge(
            "borageford_gateway_backend_limit",
            "Requests per second that the server accepts from all gateways; 0: it names none.",
            {{"backend", backend}}, [value] { return value->load(); });
    }
    value->store(limit);
}

} // namespace borageford::gateway
