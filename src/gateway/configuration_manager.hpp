// Keeps the newest known configuration, received from the store or from another gateway, and puts it in
// force.
#pragma once

#include "coordination/slot_broker.hpp"
#include "gateway/deployment.hpp"
#include "gateway/gateway_context.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace borageford::gateway {

/// Invariant: the version in force never decreases, even if a stale read or a peer with an older
/// configuration delivers an older document.
class configuration_manager {
public:
    configuration_manager(const deployment& current_deployment, routing_snapshot& configuration,
                          coordination::slot_broker& slots)
        : m_deployment(current_deployment), m_configuration(configuration), m_slots(slots) {}

    /// Decodes a document as written by the operator and puts it in force if its version is newer. A document
    /// that can't be decoded is logged and ignored. `source` is only logged.
    void apply(std::string_view document, std::string_view source);

    /// Version of the configuration in force; 0: none is known yet.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    /// Encoded document of that version, to be sent to other gateways.
    [[nodiscard]] const std::string& document() const noexcept { return m_document; }

private:
    void apply_quotas(const routing::routing_table& table);
    void apply_engine_memory(const routing::routing_table& table);

    const deployment& m_deployment;
    routing_snapshot& m_configuration;
    coordination::slot_broker& m_slots;
    std::uint64_t m_version = 0;
    std::string m_document; ///< Encoded document of m_version.
    std::set<policy::workspace_key> m_workspaces;
};

} // namespace borageford::gateway
