// Implementation of the functions that compose HTTP heads.
#include "gateway/http_heads.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace borageford::gateway {

namespace {

constexpr std::size_t usual_head_size = 512;
/// Lower bound of the deadline sent to a server: 0 would mean that there is no deadline.
constexpr std::int64_t least_time_ms = 1;

/// Hop-by-hop fields, which concern a single connection and are not forwarded.
constexpr std::array<std::string_view, 9> connection_fields{
    "Connection", "Keep-Alive", "Transfer-Encoding",  "Content-Length", "TE", "Trailer",
    "Upgrade",    "Expect",     "Proxy-Authorization"};

template <typename Names>
bool contains_name(const Names& names, std::string_view name) {
    return std::ranges::any_of(names,
                               [name](std::string_view known) { return http::is_same_name(known, name); });
}

/// Fields of the caller that are not forwarded: its API key, and those that only the system sets.
std::array<std::string_view, 10> withheld_fields(const routing::header_names& names,
                                                 const std::optional<std::string>& last_event) {
    return {names.deadline,
            names.workspace,
            names.expected_server,
            names.hold,
            names.pin_time,
            names.kv_cache_backup,
            names.kv_cache_source,
            names.kv_cache_fetch,
            "Authorization",
            last_event.has_value() ? std::string_view(names.last_event) : std::string_view()};
}

} // namespace

void append_field(std::string& head, std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string compose_request_head(const http::received_request& request, const admitted_request& admitted,
                                 const routing::header_names& names, std::string_view server_id,
                                 const std::optional<std::string>& last_event) {
    const auto withheld = withheld_fields(names, last_event);
    std::string head;
    head.reserve(usual_head_size);
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (std::size_t index = 0; index < request.fields.size(); ++index) {
        const auto [name, value] = request.fields.at(index);
        if (!contains_name(withheld, name) && !contains_name(connection_fields, name)) {
            append_field(head, name, value);
        }
    }
    append_field(head, names.deadline, std::to_string(std::max(least_time_ms, admitted.time_left().count())));
    append_field(head, names.expected_server, server_id);
    if (admitted.workspace != nullptr) {
        append_field(head, names.workspace, admitted.workspace->name);
    }
    if (last_event.has_value()) {
        append_field(head, names.last_event, *last_event);
    }
    const bool is_bodiless = request.method == "GET" || request.method == "HEAD";
    if (!request.body.empty() || !is_bodiless) {
        append_field(head, "Content-Length", std::to_string(request.body.size()));
    }
    return head.append("\r\n");
}

std::string compose_passed_fields(const http::field_list& fields) {
    std::string passed;
    for (std::size_t index = 0; index < fields.size(); ++index) {
        const auto [name, value] = fields.at(index);
        if (!contains_name(connection_fields, name)) {
            append_field(passed, name, value);
        }
    }
    return passed;
}

} // namespace borageford::gateway
