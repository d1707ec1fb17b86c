// Which backend servers can serve what, and the link to the sidecar of each: the configuration joined with
// the platform's list of VMs. Read on every request through a snapshot.
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

/// A backend server that may be given work.
struct candidate {
    std::shared_ptr<sidecar_link> link;
    std::string name;
    std::uint64_t name_hash = 0;
    std::string failure_domain;
    std::string region;
};

/// Keyed by "m:MODEL" or "s:SERVICE". Immutable once published.
struct candidate_table {
    std::map<std::string, std::vector<candidate>, std::less<>> by_target;
    std::map<std::string, std::shared_ptr<sidecar_link>, std::less<>> by_server;
};

class server_directory {
public:
    explicit server_directory(const link_context& context);

    /// Joins anew; links of VMs that stay are kept, those of VMs that are gone are closed.
    void update(const configuration::configuration& current, const store::vm_map& vms);

    [[nodiscard]] std::shared_ptr<const candidate_table> current() const noexcept { return m_table.read(); }

    /// Candidates for a target; empty when none is configured and live.
    [[nodiscard]] static const std::vector<candidate>& find(const candidate_table& table,
                                                            std::string_view target, bool is_service);

private:
    std::shared_ptr<sidecar_link> link_to(const store::vm& vm);

    const link_context& m_context;
    std::mutex m_mutex; ///< one update at a time
    /// By VM name and address: a replaced VM is another one. Guarded by m_mutex.
    std::map<std::string, std::shared_ptr<sidecar_link>> m_links;
    snapshot<candidate_table> m_table{candidate_table{}};
};

} // namespace borageford::entry
