// Reads the fields of a resuming request, and notes the version at its first event.
#include "gateway/stream_software.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"

#include <cstddef>
#include <string_view>

namespace borageford::gateway {

namespace {

/// Ids that callers choose are far shorter. Longer ones name no stream.
constexpr std::size_t max_id_bytes = 256;

policy::stream_key stream_key_of(const admitted_request& admitted, std::string_view request_id) {
    if (request_id.empty()) {
        return 0;
    }
    const auto workspace = hash_bytes(admitted.workspace != nullptr ? admitted.workspace->name : "");
    const auto route = hash_bytes(admitted.route->prefix, hash_bytes(admitted.route->host, workspace));
    return hash_bytes(request_id, route);
}

/// The id of the request that began the stream; empty if the caller names none or several.
std::string_view read_resumed_request(const http::field_list& fields, const routing::header_names& names,
                                      const admitted_request& admitted) {
    const auto value = fields.find(names.resumed_request);
    if (!value.has_value()) {
        return {};
    }
    const bool is_usable =
        !value->empty() && value->size() <= max_id_bytes && fields.count(names.resumed_request) == 1;
    if (!is_usable) {
        events::write(
            events::event_kind::request_field_unreadable,
            {{"request", admitted.id}, {"field", names.resumed_request}, {"value", events::excerpt(*value)}});
        return {};
    }
    return *value;
}

} // namespace

void stream_software::read(const http::field_list& fields, const routing::header_names& names,
                           const admitted_request& admitted) {
    const bool names_stream = fields.find(names.resumed_request).has_value();
    m_is_resume = names_stream || fields.find(names.last_event).has_value();
    m_service = hash_bytes(admitted.service->name);
    const auto begun_by = m_is_resume ? read_resumed_request(fields, names, admitted) : admitted.id;
    m_stream.stream = stream_key_of(admitted, begun_by);
    m_stream.service = admitted.route->services.size() == 1 ? m_service : 0;
}

void stream_software::handle_first_event(const backend_call& call) {
    if (m_required == 0) {
        m_required = call.software().value_or(0);
    }
}

policy::stream_origin stream_software::origin(policy::time_point now) const {
    return {m_stream.stream, m_service, m_required, now};
}

void stream_software::handle_break(const backend_call& call) {
    if (!call.software().has_value()) {
        m_required = 0;
    }
}

} // namespace borageford::gateway
