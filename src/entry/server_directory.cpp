// Builds the table of candidates from the configuration and the list of VMs.
#include "entry/server_directory.hpp"

#include "base/hash.hpp"
#include "http/client.hpp"

#include <set>
#include <utility>

namespace borageford::entry {
namespace {

constexpr std::string_view model_prefix = "m:";
constexpr std::string_view service_prefix = "s:";

std::string key_for(std::string_view prefix, std::string_view name) {
    return std::string(prefix).append(name);
}

std::string link_key(const store::vm& vm) {
    return vm.name + "@" + http::to_string(vm.address) + "/" + vm.backend_server;
}

} // namespace

server_directory::server_directory(const link_context& context) : m_context(context) {}

std::shared_ptr<sidecar_link> server_directory::link_to(const store::vm& vm) {
    auto& link = m_links[link_key(vm)];
    if (link == nullptr) {
        link = std::make_shared<sidecar_link>(m_context, vm);
    }
    return link;
}

void server_directory::update(const configuration::configuration& current, const store::vm_map& vms) {
    const std::scoped_lock lock(m_mutex);
    candidate_table table;
    std::set<std::string> in_use;
    for (const auto& [name, vm] : vms) {
        if (vm.role != store::vm_role::sidecar) {
            continue;
        }
        const auto link = link_to(vm);
        in_use.insert(link_key(vm));
        // The link is kept even when the server may not be offered new requests: the fates of the dispatches
        // that were started there are requested through it.
        table.by_server[vm.backend_server] = link;
        const auto* server = current.find_backend_server(vm.backend_server);
        if (server == nullptr || server->drained || vm.state == store::vm_state::leaving) {
            continue;
        }
        const candidate entry{link, server->name, hash_bytes(server->name), vm.failure_domain, vm.region};
        for (const auto& model : server->models) {
            table.by_target[key_for(model_prefix, model)].push_back(entry);
        }
        for (const auto& service : server->services) {
            table.by_target[key_for(service_prefix, service)].push_back(entry);
        }
    }
    std::erase_if(m_links, [&in_use](const auto& item) {
        const bool is_gone = !in_use.contains(item.first);
        if (is_gone) {
            item.second->close("VM removed from the platform's list");
        }
        return is_gone;
    });
    m_table.replace(std::move(table));
}

const std::vector<candidate>& server_directory::find(const candidate_table& table, std::string_view target,
                                                     bool is_service) {
    static const std::vector<candidate> none;
    const auto found = table.by_target.find(key_for(is_service ? service_prefix : model_prefix, target));
    return found == table.by_target.end() ? none : found->second;
}

} // namespace borageford::entry
