// Asks live nodes which revision they hold, and passes the newest on to those that are behind.
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

/// What one node answered.
struct node_revision {
    std::string vm;
    std::string role;
    std::string failure_domain;
    std::string backend_server; ///< for sidecars
    bool is_leaving = false;
    std::optional<configuration::revision_number> revision; ///< nothing: not reached
};

/// Invariant: at most `concurrency` nodes are asked at once by one survey.
class revision_survey {
public:
    static constexpr std::size_t concurrency = 64;

    revision_survey(boost::asio::any_io_executor executor, timer_service& timers,
                    configuration::configuration_follower& follower, store::vm_directory& vms,
                    peer_identity identity);

    /// Asks every VM of the platform's list at once. A node below `wanted` is given what this process holds
    /// and waited for, each until `limit` after it was called.
    boost::asio::awaitable<std::vector<node_revision>> ask_all(configuration::revision_number wanted,
                                                               std::chrono::milliseconds limit);

private:
    boost::asio::awaitable<void> ask_some(std::vector<node_revision>& nodes,
                                          const std::vector<store::vm>& vms, std::size_t& next,
                                          configuration::revision_number wanted,
                                          std::chrono::milliseconds limit);
    boost::asio::awaitable<std::optional<configuration::revision_number>>
    ask(const store::vm& vm, configuration::revision_number wanted, std::chrono::milliseconds limit);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    configuration::configuration_follower& m_follower;
    store::vm_directory& m_vms;
    peer_identity m_identity;
};

} // namespace borageford::admin
