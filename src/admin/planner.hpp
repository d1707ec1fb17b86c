// Makes plans, puts them in force, and drains: what operators change, whatever they call it through.
#pragma once

#include "admin/spread_watch.hpp"
#include "configuration/configuration_follower.hpp"
#include "configuration/difference.hpp"
#include "configuration/revision_store.hpp"
#include "settings/ini_document.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace borageford::admin {

/// A plan, or everything that is wrong with its intent.
struct plan_result {
    configuration::plan plan;
    std::vector<settings::problem> problems;
};

struct confirm_result {
    configuration::commit_result commit;
    std::vector<std::string> warnings;               ///< of the plan that was committed
    std::optional<configuration::spread_row> spread; ///< when the caller waited
};

/// Calls throw request_error and store::store_error.
class planner {
public:
    planner(configuration::configuration_follower& follower, configuration::revision_store& store,
            spread_watch& spread);

    /// Compares the intent with the newest revision and keeps the plan. `file` names the intent's source in
    /// complaints.
    boost::asio::awaitable<plan_result> make_plan(std::string text, std::string file,
                                                  std::string operator_name,
                                                  std::vector<configuration::workspace_use> use);

    /// A plan with the content of an old revision.
    boost::asio::awaitable<plan_result> make_revert_plan(configuration::revision_number revision,
                                                         std::string operator_name,
                                                         std::vector<configuration::workspace_use> use);

    /// Commits the plan; `wait` is how long to wait until it is in force everywhere, nothing not to wait.
    boost::asio::awaitable<confirm_result> confirm(std::string plan_id, std::string operator_name,
                                                   std::optional<std::chrono::milliseconds> wait);

    /// An operator's immediate order, recorded as a revision on top of the newest one.
    boost::asio::awaitable<confirm_result> set_drained(std::string backend_server, bool drained,
                                                       std::string operator_name,
                                                       std::optional<std::chrono::milliseconds> wait);

private:
    boost::asio::awaitable<std::shared_ptr<const configuration::configuration>> read_newest();
    boost::asio::awaitable<confirm_result> commit(configuration::plan what, std::string operator_name,
                                                  std::optional<std::chrono::milliseconds> wait);
    boost::asio::awaitable<configuration::spread_row> follow(configuration::revision_number revision,
                                                             std::chrono::steady_clock::time_point accepted,
                                                             std::chrono::milliseconds limit);

    configuration::configuration_follower& m_follower;
    configuration::revision_store& m_store;
    spread_watch& m_spread;
};

} // namespace borageford::admin
