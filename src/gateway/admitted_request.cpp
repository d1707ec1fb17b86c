// Implementation of admit(): determines route, workspace, deadline and cost, in this order.
#include "gateway/admitted_request.hpp"

#include "base/hash.hpp"
#include "base/parse_number.hpp"
#include "base/request_error.hpp"
#include "events/event_log.hpp"
#include "gateway/prompt_parts.hpp"
#include "gateway/stated_tokens.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace {

constexpr std::string_view bearer = "Bearer ";
/// Retry-After of a request that arrives before the first configuration. A process that has just started
/// receives its configuration within this time if the store works.
constexpr milliseconds first_configuration_wait{300};

double draw() {
    thread_local std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

const routing::workspace* find_workspace(const admitted_request& result, const http::field_list& fields) {
    const bool needs_key = !result.route->is_public && !result.configuration->document().workspaces.empty();
    if (!needs_key) {
        return nullptr;
    }
    const auto given = fields.find("Authorization").value_or("");
    const auto* found = given.starts_with(bearer)
                            ? result.configuration->find_workspace(given.substr(bearer.size()))
                            : nullptr;
    if (found == nullptr) {
        throw request_error(error_kind::unauthorized);
    }
    return found;
}

void report_unreadable(std::string_view request_id, std::string_view field, std::string_view value) {
    events::write(events::event_kind::request_field_unreadable,
                  {{"request", request_id}, {"field", field}, {"value", events::excerpt(value)}});
}

/// The number in the field; nothing if it is missing or can't be read.
std::optional<std::int64_t> read_integer(std::string_view request_id, const http::field_list& fields,
                                         const std::string& name) {
    const auto stated = fields.find(name);
    if (!stated.has_value()) {
        return std::nullopt;
    }
    const auto value = parse_number<std::int64_t>(*stated);
    if (!value.has_value()) {
        report_unreadable(request_id, name, *stated);
    }
    return value;
}

/// The token counts that the request states; zeros, as if it stated none, if they can't be read.
stated_tokens read_tokens(std::string_view request_id, const http::field_list& fields,
                          const std::string& name) {
    const auto stated = fields.find(name);
    if (!stated.has_value()) {
        return {};
    }
    const auto tokens = parse_tokens(*stated);
    if (!tokens.has_value()) {
        report_unreadable(request_id, name, *stated);
    }
    return tokens.value_or(stated_tokens{});
}

/// The parts of the prompt that the request shares; none, as if it stated none, if they can't be read.
std::vector<std::uint64_t> read_shared_parts(std::string_view request_id, const http::field_list& fields,
                                             const routing::header_names& names) {
    const auto stated = fields.find(names.prompt_parts);
    if (!stated.has_value()) {
        return {};
    }
    auto parts = fields.count(names.prompt_parts) == 1 ? parse_shared_parts(*stated) : std::nullopt;
    if (!parts.has_value()) {
        report_unreadable(request_id, names.prompt_parts, *stated);
        return {};
    }
    const auto model = fields.find(names.model).value_or("");
    for (auto& part : *parts) {
        part = hash_bytes(model, part);
    }
    return *std::move(parts);
}

/// Whether a prompt fits into the memory of the service's engines, as the configuration states it.
bool has_memory_for(const routing::service& service, double prompt) {
    const auto capacity = service.engine.has_value() ? service.engine->cache_tokens : 0;
    return capacity == 0 || prompt <= static_cast<double>(capacity);
}

/// Chooses one of the route's services by their weights. If its engines can't hold the prompt, chooses the
/// first of the others whose engines can.
const routing::service* choose_service(const routing::routing_table& configuration,
                                       const routing::route& route, double prompt) {
    const auto& chosen = configuration.choose_service(route, draw());
    if (has_memory_for(chosen, prompt)) {
        return &chosen;
    }
    const auto& services = configuration.document().services;
    const auto large = std::ranges::find_if(route.services, [&](const routing::weighted_service& each) {
        return each.weight > 0 && has_memory_for(services.at(each.service), prompt);
    });
    if (large == route.services.end()) {
        throw request_error(error_kind::prompt_too_large);
    }
    return &services.at(large->service);
}

double count_units(const routing::workspace* workspace, const stated_tokens& tokens) {
    if (workspace == nullptr) {
        return 0;
    }
    if (workspace->unit == routing::quota_unit::requests) {
        return 1;
    }
    const double stated = tokens.prompt + tokens.max_output;
    return stated > 0 ? stated : workspace->default_tokens;
}

} // namespace

std::vector<policy::crash_suspect> admitted_request::suspects() const {
    std::vector<policy::crash_suspect> result{{policy::suspect_kind::request, fingerprint}};
    if (!shared_parts.empty()) {
        // The same part may be harmless for other engines.
        for (const auto part : shared_parts) {
            result.push_back({policy::suspect_kind::prompt_part, hash_bytes(service->name, part)});
        }
    }
    return result;
}

bool admitted_request::choose_service(policy::service_key wanted) {
    const auto& services = configuration->document().services;
    const auto found = std::ranges::find_if(route->services, [&](const routing::weighted_service& each) {
        return hash_bytes(services.at(each.service).name) == wanted;
    });
    if (found == route->services.end()) {
        return false;
    }
    service = &services.at(found->service);
    return true;
}

admitted_request admit(const gateway_context& context, const http::received_request& request,
                       admitted_request::clock::time_point arrived) {
    const auto& fields = request.fields;
    admitted_request result;
    result.arrived = arrived;
    result.configuration = *context.configuration.read();
    if (result.configuration == nullptr) {
        throw request_error(error_kind::no_configuration, {}, first_configuration_wait);
    }
    result.route = result.configuration->find_route(fields.find("Host").value_or(""), request.target);
    if (result.route == nullptr) {
        throw request_error(error_kind::not_found);
    }
    result.workspace = find_workspace(result, fields);
    result.id = fields.find(context.fields.request_id).value_or("");
    auto limit = result.route->timeout;
    if (const auto stated = read_integer(result.id, fields, context.fields.deadline)) {
        limit = std::min(limit, milliseconds(*stated));
    }
    result.deadline = arrived + limit;
    const auto tokens = read_tokens(result.id, fields, context.fields.tokens);
    result.service = choose_service(*result.configuration, *result.route, tokens.prompt);
    const auto expected = read_integer(result.id, fields, context.fields.expected_length);
    const bool is_expected_known = expected.has_value() && *expected >= 0;
    result.cost = {tokens.prompt, is_expected_known ? static_cast<double>(*expected) : tokens.max_output};
    if (tokens.max_output > 0) {
        result.cost.output = std::min(result.cost.output, tokens.max_output);
    }
    result.shared_parts = read_shared_parts(result.id, fields, context.fields);
    result.units = count_units(result.workspace, tokens);
    const int of_workspace = result.workspace != nullptr ? result.workspace->tier.value_or(0) : 0;
    result.tier = policy::combine_tiers(of_workspace, result.route->tier);
    const auto caller = hash_bytes(result.workspace != nullptr ? result.workspace->name : "");
    result.fingerprint = hash_bytes(request.body, hash_bytes(request.target, caller));
    return result;
}

} // namespace borageford::gateway
