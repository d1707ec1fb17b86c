// Asks all live nodes for their revision of the configuration, and sends the newer configuration to nodes
// that have an older one.
#pragma once

#include "admin/revision_listener.hpp"
#include "base/timer_service.hpp"
#include "configuration/configuration_follower.hpp"
#include "store/vm_directory.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace borageford::admin {

/// One node (a VM with an entry or a sidecar) and the revision that it reported.
struct node_revision {
    std::string vm;
    std::string role; ///< "entry" or "sidecar"
    std::string failure_domain;
    std::string backend_server; ///< backend server of a sidecar; empty for entries
    bool is_leaving = false;    ///< the node is shutting down
    std::optional<configuration::revision_number> revision; ///< nothing: the node wasn't reached
};

/// Asks nodes for their revision. Invariant: one survey asks at most `concurrency` nodes at the same time.
class revision_survey {
public:
    static constexpr std::size_t concurrency = 64;

    revision_survey(boost::asio::any_io_executor executor, timer_service& timers,
                    configuration::configuration_follower& follower, store::vm_directory& vms,
                    peer_identity identity);

    /// Asks every VM of the platform's list. A node with a lower revision than `wanted` is offered the
    /// configuration of this process, and the survey waits for that node to reach `wanted`. `limit` applies
    /// to each node: once to connecting and once more to its answers.
    boost::asio::awaitable<std::vector<node_revision>> query_all(configuration::revision_number wanted,
                                                                 std::chrono::milliseconds limit);

private:
    /// Asks one VM after the other, each time the one at index `next`, until none is left. query_all() runs
    /// this several times concurrently with the same `next`.
    boost::asio::awaitable<void> query_remaining(std::vector<node_revision>& nodes,
                                                 const std::vector<store::vm>& vms, std::size_t& next,
                                                 configuration::revision_number wanted,
                                                 std::chrono::milliseconds limit);
    boost::asio::awaitable<std::optional<configuration::revision_number>>
    query_node(const store::vm& vm, configuration::revision_number wanted, std::chrono::milliseconds limit);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    configuration::configuration_follower& m_follower;
    store::vm_directory& m_vms;
    peer_identity m_identity;
};

} // namespace borageford::admin
