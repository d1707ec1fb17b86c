// Implementation of plan_orders(): compares the loaded models, adapters and role with the configured ones.
#include "sidecar/engine_plan.hpp"

#include <algorithm>
#include <string>

namespace borageford::sidecar {
namespace {

using backend::order_kind;

bool has_name(const std::vector<std::string>& names, const std::string& name) {
    return std::ranges::find(names, name) != names.end();
}

const backend::loaded_model* find_loaded(const backend::engine_state& reported, const std::string& name) {
    const auto found = std::ranges::find(reported.models, name, &backend::loaded_model::name);
    return found == reported.models.end() ? nullptr : &*found;
}

void plan_models(const configuration::configuration& configured, const configuration::backend_server& server,
                 const backend::engine_state& reported, std::vector<backend::order>& orders) {
    for (const auto& name : server.models) {
        const auto* model = configured.find_model(name);
        const auto* loaded = find_loaded(reported, name);
        if (model != nullptr && (loaded == nullptr || loaded->version != model->version)) {
            orders.push_back({0, order_kind::load_model, name, model->version});
        }
    }
    for (const auto& name : server.adapters) {
        if (!has_name(reported.adapters, name)) {
            orders.push_back({0, order_kind::load_adapter, name, {}});
        }
    }
    for (const auto& name : reported.adapters) {
        if (!has_name(server.adapters, name)) {
            orders.push_back({0, order_kind::unload_adapter, name, {}});
        }
    }
    for (const auto& loaded : reported.models) {
        if (!has_name(server.models, loaded.name)) {
            orders.push_back({0, order_kind::unload_model, loaded.name, loaded.version});
        }
    }
}

} // namespace

std::vector<backend::order> plan_orders(const configuration::configuration& configured,
                                        const configuration::backend_server& server,
                                        const backend::engine_state& reported) {
    std::vector<backend::order> orders;
    if (!server.role.empty() && server.role != reported.role) {
        orders.push_back({0, order_kind::set_role, server.role, {}});
    }
    plan_models(configured, server, reported, orders);
    return orders;
}

} // namespace borageford::sidecar
