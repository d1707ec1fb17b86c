// Implements spread_watch: repeats surveys of the nodes until no node is behind.
#include "admin/spread_watch.hpp"

#include "base/pause.hpp"

#include <algorithm>

namespace borageford::admin {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// Timeout of one survey for each node. A node that wasn't reached is asked again in the next survey; for
/// a node that was reached but is behind, the survey waits up to this timeout.
constexpr milliseconds survey_limit{2000};
constexpr milliseconds pause_between_surveys{250};

} // namespace

std::vector<std::string> nodes_behind(const std::vector<node_revision>& nodes,
                                      configuration::revision_number revision) {
    std::vector<std::string> behind;
    for (const auto& node : nodes) {
        if (!node.is_leaving && node.revision.value_or(0) < revision) {
            behind.push_back(node.vm);
        }
    }
    return behind;
}

asio::awaitable<configuration::spread_row> spread_watch::watch(configuration::revision_number revision,
                                                               steady_clock::time_point accepted,
                                                               milliseconds limit) {
    const auto give_up = accepted + limit;
    configuration::spread_row spread;
    spread.revision = revision;
    while (true) {
        const auto left = std::chrono::ceil<milliseconds>(give_up - steady_clock::now());
        const auto nodes =
            co_await m_survey.query_all(revision, std::clamp(left, milliseconds(1), survey_limit));
        const auto now = steady_clock::now();
        spread.nodes = nodes.size();
        spread.behind = nodes_behind(nodes, revision);
        spread.milliseconds =
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now - accepted).count());
        if (spread.behind.empty() || now >= give_up) {
            co_return spread;
        }
        co_await pause(m_timers, pause_between_surveys);
    }
}

} // namespace borageford::admin
