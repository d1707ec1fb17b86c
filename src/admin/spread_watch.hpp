// Follows an accepted revision until every live node holds it.
#pragma once

#include "admin/revision_survey.hpp"
#include "configuration/revision_store.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <vector>

namespace borageford::admin {

class spread_watch {
public:
    spread_watch(revision_survey& survey, timer_service& timers) : m_survey(survey), m_timers(timers) {}

    /// Returns once every live node was seen to hold the revision, or names those that weren't when `limit`
    /// has passed. Time counts from `accepted`.
    boost::asio::awaitable<configuration::spread_row> watch(configuration::revision_number revision,
                                                            std::chrono::steady_clock::time_point accepted,
                                                            std::chrono::milliseconds limit);

private:
    revision_survey& m_survey;
    timer_service& m_timers;
};

/// The live nodes that don't hold the revision or weren't reached. Leaving nodes take no new work, so they
/// don't count.
[[nodiscard]] std::vector<std::string> nodes_behind(const std::vector<node_revision>& nodes,
                                                    configuration::revision_number revision);

} // namespace borageford::admin
