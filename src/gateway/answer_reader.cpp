// Decodes the fields with the functions of the deployment, and logs what can't be decoded.
#include "gateway/answer_reader.hpp"

#include "coordination/broker_events.hpp"
#include "events/event_log.hpp"

#include <chrono>
#include <exception>
#include <optional>
#include <string>

namespace borageford::gateway {

namespace {

/// Names the answer and the field that is read, for the log.
struct answer_field {
    std::string_view backend;
    std::string_view request_id;
    std::string_view name;
};

void report_unreadable(const answer_field& field, std::string_view value, std::string_view reason) {
    events::write(events::event_kind::answer_field_unreadable, {{"backend", field.backend},
                                                                {"request", field.request_id},
                                                                {"field", field.name},
                                                                {"value", events::excerpt(value)},
                                                                {"reason", reason}});
}

/// Returns the value of a field that an answer has at most once; nothing if it has none, or several.
std::optional<std::string_view> find_single(const http::field_list& fields, const answer_field& field) {
    const auto value = fields.find(field.name);
    if (value.has_value() && fields.count(field.name) > 1) {
        report_unreadable(field, *value, "the answer has several of these fields");
        return std::nullopt;
    }
    return value;
}

} // namespace

void answer_reader::read(const routing::backend_record& server, const http::field_list& fields,
                         std::string_view request_id) {
    read_departure(server, fields, request_id);
}

void answer_reader::read_departure(const routing::backend_record& server, const http::field_list& fields,
                                   std::string_view request_id) {
    const answer_field field{server.id, request_id, m_deployment.fields.leaving};
    const auto value = find_single(fields, field);
    if (!value.has_value()) {
        return;
    }
    try {
        m_deployment.decode_departure(*value);
    } catch (const std::exception& error) {
        report_unreadable(field, *value, error.what());
        return;
    }
    m_slots.observe_departure(server.key());
}

void answer_reader::report(const policy::departure& heard) const {
    const auto server = m_backends.find(heard.server);
    const auto id = server != nullptr ? server->record().id : std::string("unknown");
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - heard.heard);
    events::write(events::event_kind::backend_leaving,
                  {{"backend", id},
                   {"heard_by", coordination::describe_member(heard.heard_by)},
                   {"age_ms", std::int64_t(age.count())}});
}

} // namespace borageford::gateway
