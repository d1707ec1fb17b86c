// Implementation of admit(): determines route, workspace, deadline and cost, in this order.
#include "gateway/admitted_request.hpp"

#include "base/hash.hpp"
#include "base/request_error.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <random>
#include <string_view>

namespace borageford::gateway {

namespace {

constexpr std::string_view bearer = "Bearer ";
/// Retry-After of a request that arrives before the first configuration. A process that has just started
/// receives its configuration within this time if the store works.
constexpr milliseconds first_configuration_wait{300};

std::optional<std::int64_t> parse_number(std::optional<std::string_view> text) {
    if (!text.has_value()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
    return parsed.ec == std::errc{} ? std::optional(value) : std::nullopt;
}

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

/// Token counts stated by the caller: those of the prompt, and the maximum of the output.
struct stated_tokens {
    double prompt = 0;
    double max_output = 0;
};

stated_tokens read_tokens(const gateway_context& context, const http::field_list& fields) {
    stated_tokens result;
    const auto stated = fields.find(context.fields.tokens);
    if (!stated.has_value()) {
        return result;
    }
    const auto comma = stated->find(',');
    result.prompt = static_cast<double>(parse_number(stated->substr(0, comma)).value_or(0));
    if (comma != std::string_view::npos) {
        result.max_output = static_cast<double>(parse_number(stated->substr(comma + 1)).value_or(0));
    }
    return result;
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
    result.service = &result.configuration->choose_service(*result.route, draw());
    result.id = fields.find(context.fields.request_id).value_or("");
    auto limit = result.route->timeout;
    if (const auto stated = parse_number(fields.find(context.fields.deadline))) {
        limit = std::min(limit, milliseconds(*stated));
    }
    result.deadline = arrived + limit;
    const auto tokens = read_tokens(context, fields);
    const auto expected = parse_number(fields.find(context.fields.expected_length));
    result.cost = {tokens.prompt, expected ? static_cast<double>(*expected) : tokens.max_output};
    result.units = count_units(result.workspace, tokens);
    const int of_workspace = result.workspace != nullptr ? result.workspace->tier.value_or(0) : 0;
    result.tier = policy::combine_tiers(of_workspace, result.route->tier);
    const auto caller = hash_bytes(result.workspace != nullptr ? result.workspace->name : "");
    result.fingerprint = hash_bytes(request.body, hash_bytes(request.target, caller));
    return result;
}

} // namespace borageford::gateway
