// Builds the indexes once for each version of the configuration and searches them.
#include "routing/routing_table.hpp"

#include <stdexcept>
#include <utility>

namespace borageford::routing {

routing_table::routing_table(routing_document document) : m_document(std::move(document)) {
    for (std::size_t index = 0; index < m_document.services.size(); ++index) {
        m_services.emplace(m_document.services[index].name, index);
    }
    for (std::size_t index = 0; index < m_document.routes.size(); ++index) {
        const auto& entry = m_document.routes[index];
        if (entry.services.empty()) {
            throw std::invalid_argument("route " + entry.name + " names no service");
        }
        for (const auto& choice : entry.services) {
            if (choice.service >= m_document.services.size()) {
                throw std::invalid_argument("route " + entry.name + " names an unknown service");
            }
        }
        m_routes[entry.host][entry.prefix] = index;
    }
    for (std::size_t index = 0; index < m_document.workspaces.size(); ++index) {
        const auto& entry = m_document.workspaces[index];
        m_workspaces.emplace(entry.name, index);
        for (const auto& key : entry.keys) {
            m_keys.emplace(key, index);
        }
    }
}

const route* routing_table::find_route(std::string_view host, std::string_view target) const {
    const auto of_host = m_routes.find(host);
    if (of_host == m_routes.end()) {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = of_host->second.find(path.substr(0, slash + 1));
        if (found != of_host->second.end()) {
            return &m_document.routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const workspace* routing_table::find_workspace(std::string_view key) const {
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &m_document.workspaces[found->second];
}

const workspace* routing_table::find_workspace_by_name(std::string_view name) const {
    const auto found = m_workspaces.find(name);
    return found == m_workspaces.end() ? nullptr : &m_document.workspaces[found->second];
}

const service* routing_table::find_service(std::string_view name) const {
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &m_document.services[found->second];
}

const service& routing_table::choose_service(const route& from, double draw) const {
    double total = 0;
    for (const auto& choice : from.services) {
        total += choice.weight;
    }
    double left = draw * total;
    for (const auto& choice : from.services) {
        left -= choice.weight;
        if (left < 0) {
            return m_document.services[choice.service];
        }
    }
    return m_document.services[from.services.back().service];
}

} // namespace borageford::routing
