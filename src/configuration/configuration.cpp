// Look-ups of objects in one revision of the configuration, by name or by API key.
#include "configuration/configuration.hpp"

#include <algorithm>
#include <array>

namespace borageford::configuration {
namespace {

constexpr std::string_view any_name = "*";

template <typename Item>
const Item* find_by_name(const std::vector<Item>& items, std::string_view name) {
    const auto found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

bool matches(std::string_view pattern, std::string_view name) {
    return pattern == any_name || pattern == name;
}

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::ranges::find(names, name) != names.end();
}

} // namespace

const tier* configuration::find_tier(std::string_view name) const noexcept {
    return find_by_name(tiers, name);
}

const workspace* configuration::find_workspace(std::string_view name) const noexcept {
    return find_by_name(workspaces, name);
}

const workspace* configuration::find_workspace_by_key_hash(std::string_view hash) const noexcept {
    const auto found = std::ranges::find_if(
        workspaces, [hash](const workspace& candidate) { return contains(candidate.key_hashes, hash); });
    return found == workspaces.end() ? nullptr : &*found;
}

const model* configuration::find_model(std::string_view name) const noexcept {
    return find_by_name(models, name);
}

const service* configuration::find_service(std::string_view name) const noexcept {
    return find_by_name(services, name);
}

const backend_server* configuration::find_backend_server(std::string_view name) const noexcept {
    return find_by_name(backend_servers, name);
}

const route* configuration::find_route(std::string_view workspace, std::string_view tier,
                                       std::string_view target, bool is_service) const noexcept {
    const auto found = std::ranges::find_if(routes, [&](const route& candidate) {
        return matches(candidate.workspace, workspace) &&
               (candidate.tiers.empty() || contains(candidate.tiers, tier)) &&
               matches(is_service ? candidate.service : candidate.model, target);
    });
    return found == routes.end() ? nullptr : &*found;
}

bool configuration::serves(const backend_server& server, std::string_view target, bool is_service) {
    return contains(is_service ? server.services : server.models, target);
}

} // namespace borageford::configuration
