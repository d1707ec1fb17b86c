// Decode, compare, put in force.
#include "gateway/configuration_keeper.hpp"

#include "base/hash.hpp"
#include "base/log.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace borageford::gateway {

void configuration_keeper::take(std::string_view document, std::string_view source) {
    std::shared_ptr<const routing::routing_table> table;
    try {
        table = std::make_shared<const routing::routing_table>(m_speech.decode_configuration(document));
    } catch (const std::exception& error) {
        log::error("configuration_unreadable", {{"source", std::string(source)}, {"reason", error.what()}});
        return;
    }
    if (table->version() <= m_version) {
        return;
    }
    m_version = table->version();
    m_document = document;
    take_allowances(*table);
    log::info("configuration_in_force", {{"version", std::to_string(m_version)},
                                         {"source", std::string(source)},
                                         {"routes", std::to_string(table->document().routes.size())}});
    m_configuration.replace(std::move(table));
}

void configuration_keeper::take_allowances(const routing::routing_table& table) {
    std::set<policy::workspace_key> present;
    for (const auto& workspace : table.document().workspaces) {
        const auto key = hash_bytes(workspace.name);
        present.insert(key);
        m_slots.set_allowance(key, {workspace.rate, workspace.burst});
    }
    std::vector<policy::workspace_key> gone;
    std::ranges::set_difference(m_workspaces, present, std::back_inserter(gone));
    for (const auto key : gone) {
        m_slots.remove_allowance(key);
    }
    m_workspaces = std::move(present);
}

} // namespace borageford::gateway
