// Implementation of configuration_manager: decodes a document, compares its version and puts it in force.
#include "gateway/configuration_manager.hpp"

#include "base/hash.hpp"
#include "events/event_log.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace {

std::uint64_t count_keys(const routing::routing_document& document) {
    std::uint64_t result = 0;
    for (const auto& workspace : document.workspaces) {
        result += workspace.keys.size();
    }
    return result;
}

} // namespace

void configuration_manager::apply(std::string_view document, std::string_view source) {
    std::shared_ptr<const routing::routing_table> table;
    try {
        table = std::make_shared<const routing::routing_table>(m_deployment.decode_configuration(document));
    } catch (const std::exception& error) {
        events::write(events::event_kind::configuration_unreadable,
                      {{"source", source}, {"reason", error.what()}});
        return;
    }
    if (table->version() <= m_version) {
        return;
    }
    const auto previous = std::exchange(m_version, table->version());
    m_document = document;
    apply_quotas(*table);
    apply_engine_memory(*table);
    events::write(events::event_kind::configuration_in_force,
                  {{"version", m_version},
                   {"former", previous},
                   {"source", source},
                   {"routes", std::uint64_t(table->document().routes.size())},
                   {"workspaces", std::uint64_t(table->document().workspaces.size())},
                   {"keys", count_keys(table->document())}});
    m_configuration.replace(std::move(table));
}

void configuration_manager::apply_quotas(const routing::routing_table& table) {
    std::set<policy::workspace_key> present;
    for (const auto& workspace : table.document().workspaces) {
        const auto key = hash_bytes(workspace.name);
        present.insert(key);
        m_slots.set_quota(key, {workspace.rate, workspace.burst});
    }
    std::vector<policy::workspace_key> removed;
    std::ranges::set_difference(m_workspaces, present, std::back_inserter(removed));
    for (const auto key : removed) {
        m_slots.remove_quota(key);
    }
    m_workspaces = std::move(present);
}

void configuration_manager::apply_engine_memory(const routing::routing_table& table) {
    for (const auto& service : table.document().services) {
        const auto tokens = service.engine.has_value() ? service.engine->cache_tokens : 0;
        m_slots.set_engine_memory(hash_bytes(service.name), static_cast<double>(tokens));
    }
}

} // namespace borageford::gateway
