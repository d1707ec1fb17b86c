// Watches an accepted revision of the configuration until it is in force on every live node.
#pragma once

#include "admin/revision_survey.hpp"
#include "configuration/revision_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <vector>

namespace borageford::admin {

/// Measures how long a revision takes to be in force on all live nodes.
class spread_watch {
public:
    spread_watch(revision_survey& survey, timer_service& timers) : m_survey(survey), m_timers(timers) {}

    /// Completes when every live node has reported the revision or a newer one, or when `limit` has passed
    /// since `accepted`; the result then names the nodes that are behind.
    boost::asio::awaitable<configuration::spread_row> watch(configuration::revision_number revision,
                                                            std::chrono::steady_clock::time_point accepted,
                                                            std::chrono::milliseconds limit);

private:
    revision_survey& m_survey;
    timer_service& m_timers;
};

/// The VMs of the live nodes that have a lower revision or weren't reached. Nodes that are shutting down get
/// no new requests, so they are left out.
[[nodiscard]] std::vector<std::string> nodes_behind(const std::vector<node_revision>& nodes,
                                                    configuration::revision_number revision);

} // namespace borageford::admin
