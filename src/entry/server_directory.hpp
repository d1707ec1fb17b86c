// Combines the configuration with the platform's list of VMs into a table that says which backend servers can
// serve which models and services, and holds the link to each server's sidecar. Every request reads the table
// through a snapshot, without a lock.
#pragma once

#include "base/snapshot.hpp"
#include "configuration/configuration.hpp"
#include "entry/sidecar_link.hpp"
#include "store/vm_directory.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::entry {

/// A backend server that may be offered requests.
struct candidate {
    std::shared_ptr<sidecar_link> link;
    std::string name;
    std::uint64_t name_hash = 0; ///< hash_bytes() of the name, the key of the server in policy code
    std::string failure_domain;
    std::string region;
};

/// The backend servers known at one time. Immutable once published.
struct candidate_table {
    /// Servers that may be offered requests; the key is "m:MODEL" or "s:SERVICE".
    std::map<std::string, std::vector<candidate>, std::less<>> by_target;
    /// Links to the sidecars of all servers, including drained ones; the key is the backend server's name.
    std::map<std::string, std::shared_ptr<sidecar_link>, std::less<>> by_server;
};

/// Builds the candidate_table and owns the links to sidecars. Thread-safe.
class server_directory {
public:
    explicit server_directory(const link_context& context);

    /// Rebuilds the table. Links to VMs that are still listed are kept, and links to VMs that are no longer
    /// listed are closed.
    void update(const configuration::configuration& current, const store::vm_map& vms);

    /// The table of the latest update.
    [[nodiscard]] std::shared_ptr<const candidate_table> current() const noexcept { return m_table.read(); }

    /// The servers that may be offered requests for a model or service; empty when there are none.
    [[nodiscard]] static const std::vector<candidate>& find(const candidate_table& table,
                                                            std::string_view target, bool is_service);

private:
    /// The link to the VM's sidecar; creates it when there is none.
    std::shared_ptr<sidecar_link> link_to(const store::vm& vm);

    const link_context& m_context;
    std::mutex m_mutex; ///< serializes updates
    /// Keyed by the VM's name, address and backend server, so that a VM that was replaced under the same name
    /// gets a new link. Guarded by m_mutex.
    std::map<std::string, std::shared_ptr<sidecar_link>> m_links;
    snapshot<candidate_table> m_table{candidate_table{}};
};

} // namespace borageford::entry
