// Decodes the fields with the functions of the deployment, and logs what can't be decoded.
#include "gateway/answer_reader.hpp"

#include "coordination/broker_events.hpp"
#include "events/event_log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <optional>
#include <string>

namespace borageford::gateway {

using std::chrono::milliseconds;

namespace {

constexpr unsigned unavailable = 503;
/// A server that states more than this is asked again after it. A faulty value would otherwise keep the
/// server out of use for hours, unnoticed.
constexpr std::chrono::minutes longest_backoff{5};

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

void answer_reader::read(backend& server, const http::response_reader& answer, std::string_view request_id) {
    read_departure(server.record(), answer.fields(), request_id);
    if (answer.status() == unavailable) {
        read_backoff(server, answer.fields(), request_id);
    }
}

void answer_reader::read_backoff(backend& server, const http::field_list& fields,
                                 std::string_view request_id) {
    const answer_field field{server.record().id, request_id, m_deployment.fields.backoff};
    const auto value = find_single(fields, field);
    if (!value.has_value()) {
        return;
    }
    milliseconds wanted{};
    try {
        wanted = std::min<milliseconds>(m_deployment.decode_backoff(*value), longest_backoff);
    } catch (const std::exception& error) {
        report_unreadable(field, *value, error.what());
        return;
    }
    const bool is_new = !server.backoff_end().has_value();
    const auto until = std::chrono::steady_clock::now() + wanted;
    server.back_off(until);
    m_slots.observe_backoff(server.record().key(), until);
    m_registry
        .get_counter("borageford_gateway_backend_backoffs_total",
                     "Answers of the server that turned this gateway away and asked for a pause.",
                     {{"backend", server.record().id}})
        .add();
    if (is_new) {
        events::write(events::event_kind::backend_backoff, {{"backend", server.record().id},
                                                            {"request", request_id},
                                                            {"pause_ms", std::int64_t(wanted.count())}});
    }
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
    m_registry
        .get_counter("borageford_gateway_backend_departures_total",
                     "Servers that said in an answer that they leave.", {})
        .add();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - heard.heard);
    events::write(events::event_kind::backend_leaving,
                  {{"backend", id},
                   {"heard_by", coordination::describe_member(heard.heard_by)},
                   {"age_ms", std::int64_t(age.count())}});
}

} // namespace borageford::gateway
