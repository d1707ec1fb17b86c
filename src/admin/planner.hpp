// Carries out operators' changes to the configuration: makes plans, commits confirmed plans, and drains
// backend servers.
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

/// A plan or, if the intent file is invalid, its problems. The plan is only valid if `problems` is empty.
struct plan_result {
    configuration::plan plan;
    std::vector<settings::problem> problems;
};

/// The result of a confirmation or a drain.
struct confirm_result {
    configuration::commit_result commit;
    std::vector<std::string> warnings;               ///< warnings of the committed plan
    std::optional<configuration::spread_row> spread; ///< nothing if the call didn't wait for the spread
};

/// Makes and commits plans. The member functions throw request_error, for example if a plan doesn't exist,
/// and store::store_error if the platform doesn't answer.
class planner {
public:
    planner(configuration::configuration_follower& follower, configuration::revision_store& store,
            spread_watch& spread);

    /// Compares the intent with the newest revision and stores the plan. `file` is the intent's file name
    /// shown in problems; `use` is the present use of workspaces, for warnings about limits below it.
    boost::asio::awaitable<plan_result> make_plan(std::string text, std::string file,
                                                  std::string operator_name,
                                                  std::vector<configuration::workspace_use> use);

    /// Makes a plan that sets the configuration back to the intent of an earlier revision.
    boost::asio::awaitable<plan_result> make_revert_plan(configuration::revision_number revision,
                                                         std::string operator_name,
                                                         std::vector<configuration::workspace_use> use);

    /// Commits the plan. `wait` is the maximum time to wait until it is in force on all live nodes; nothing:
    /// don't wait.
    boost::asio::awaitable<confirm_result> confirm(std::string plan_id, std::string operator_name,
                                                   std::optional<std::chrono::milliseconds> wait);

    /// Drains a backend server or ends its drain. The change is committed at once, without a separate
    /// confirmation, as a revision on top of the newest one. `wait` as in confirm().
    boost::asio::awaitable<confirm_result> set_drained(std::string backend_server, bool drained,
                                                       std::string operator_name,
                                                       std::optional<std::chrono::milliseconds> wait);

private:
    boost::asio::awaitable<std::shared_ptr<const configuration::configuration>> read_newest();
    boost::asio::awaitable<confirm_result> commit(configuration::plan what, std::string operator_name,
                                                  std::optional<std::chrono::milliseconds> wait);
    /// Watches the revision until it is in force on all live nodes or `limit` after `accepted` has passed,
    /// and stores the measurement.
    boost::asio::awaitable<configuration::spread_row>
    watch_spread(configuration::revision_number revision, std::chrono::steady_clock::time_point accepted,
                 std::chrono::milliseconds limit);

    configuration::configuration_follower& m_follower;
    configuration::revision_store& m_store;
    spread_watch& m_spread;
};

} // namespace borageford::admin
