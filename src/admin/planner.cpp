// Implements planner: makes plans, commits them, and measures how long they take to be in force on all nodes.
#include "admin/planner.hpp"

#include "base/identifier.hpp"
#include "base/log.hpp"
#include "base/request_error.hpp"
#include "configuration/intent_parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace borageford::admin {

namespace asio = boost::asio;
using configuration::commit_verdict;
using configuration::revision_number;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

/// How long the spread of a revision is watched if the operator's call doesn't wait for it. The measurement
/// is stored and shown by `status`.
constexpr milliseconds background_watch_limit{30'000};
/// How often a drain is committed again after a conflict. Each attempt starts from a newer revision, and
/// operators don't confirm more than a few revisions at the same moment.
constexpr unsigned drain_attempts = 5;

/// Makes a plan with a new id from the difference between the base and the intent.
configuration::plan compare(const configuration::configuration& base,
                            const configuration::configuration& intent, std::string operator_name,
                            std::span<const configuration::workspace_use> use) {
    configuration::plan what;
    what.id = identifier::random().to_string();
    what.base = base.revision;
    what.operator_name = std::move(operator_name);
    what.time = configuration::current_time_text();
    what.text = intent.text;
    what.changes = configuration::describe_changes(base, intent);
    what.warnings = configuration::describe_warnings(base, intent, use);
    return what;
}

} // namespace

planner::planner(configuration::configuration_follower& follower, configuration::revision_store& store,
                 spread_watch& spread)
    : m_follower(follower), m_store(store), m_spread(spread) {}

/// Returns the newest configuration that this process knows after a read of the head row. If the read was
/// stale, the plan made on top of this configuration is refused when it is committed.
asio::awaitable<std::shared_ptr<const configuration::configuration>> planner::read_newest() {
    const auto head = co_await m_store.read_head();
    if (head > m_follower.revision()) {
        const auto row = co_await m_store.read_revision(head);
        if (row) {
            m_follower.apply_committed(row->revision, row->text);
        }
    }
    co_return m_follower.current();
}

asio::awaitable<plan_result> planner::make_plan(std::string text, std::string file, std::string operator_name,
                                                std::vector<configuration::workspace_use> use) {
    plan_result result;
    const auto intent = configuration::parse_intent(text, file, result.problems);
    if (!result.problems.empty()) {
        co_return result;
    }
    const auto base = co_await read_newest();
    result.plan = compare(*base, intent, std::move(operator_name), use);
    co_await m_store.store_plan(result.plan);
    co_return result;
}

asio::awaitable<plan_result> planner::make_revert_plan(revision_number revision, std::string operator_name,
                                                       std::vector<configuration::workspace_use> use) {
    const auto row = co_await m_store.read_revision(revision);
    if (!row) {
        throw request_error(error_kind::not_found, "there is no revision " + std::to_string(revision));
    }
    co_return co_await make_plan(row->text, "revision " + std::to_string(revision), std::move(operator_name),
                                 std::move(use));
}

asio::awaitable<confirm_result> planner::confirm(std::string plan_id, std::string operator_name,
                                                 std::optional<milliseconds> wait) {
    auto what = co_await m_store.find_plan(plan_id);
    if (!what) {
        throw request_error(error_kind::not_found, "there is no plan " + plan_id);
    }
    co_return co_await commit(std::move(*what), std::move(operator_name), wait);
}

asio::awaitable<confirm_result> planner::set_drained(std::string backend_server, bool drained,
                                                     std::string operator_name,
                                                     std::optional<milliseconds> wait) {
    confirm_result result;
    for (unsigned attempt = 0; attempt < drain_attempts; ++attempt) {
        const auto base = co_await read_newest();
        const auto text = configuration::set_drained(base->text, backend_server, drained);
        if (!text) {
            throw request_error(error_kind::not_found, "there is no backend server " + backend_server);
        }
        std::vector<settings::problem> problems;
        const auto intent = configuration::parse_intent(*text, "intent", problems);
        result = co_await commit(compare(*base, intent, operator_name, {}), operator_name, wait);
        if (result.commit.verdict != commit_verdict::conflict) {
            break;
        }
        // The revision that was committed in between may also change this server. The operator's order is
        // applied on top of that revision.
        m_follower.apply_committed(result.commit.revision.revision, result.commit.revision.text);
    }
    co_return result;
}

asio::awaitable<confirm_result> planner::commit(configuration::plan what, std::string operator_name,
                                                std::optional<milliseconds> wait) {
    confirm_result result;
    result.warnings = what.warnings;
    result.commit = co_await m_store.commit(what, std::move(operator_name));
    const auto accepted = steady_clock::now();
    const auto& revision = result.commit.revision;
    // From here on peers get the revision from this process, even if the platform fails now.
    m_follower.apply_committed(revision.revision, revision.text);
    if (result.commit.verdict == commit_verdict::conflict) {
        co_return result;
    }
    log::info("configuration_accepted", {{"revision", std::to_string(revision.revision)},
                                         {"operator", revision.operator_name},
                                         {"plan", revision.plan}});
    if (wait) {
        result.spread = co_await watch_spread(revision.revision, accepted, *wait);
    } else {
        asio::co_spawn(co_await asio::this_coro::executor,
                       watch_spread(revision.revision, accepted, background_watch_limit), asio::detached);
    }
    co_return result;
}

asio::awaitable<configuration::spread_row>
planner::watch_spread(revision_number revision, steady_clock::time_point accepted, milliseconds limit) {
    auto spread = co_await m_spread.watch(revision, accepted, limit);
    log::info("configuration_spread", {{"revision", std::to_string(revision)},
                                       {"nodes", std::to_string(spread.nodes)},
                                       {"behind", std::to_string(spread.behind.size())},
                                       {"milliseconds", std::to_string(spread.milliseconds)}});
    try {
        co_await m_store.store_spread(spread);
    } catch (const store::store_error&) {
        // The only consequence is that `status` doesn't show the measurement.
        log::warning("configuration_spread_not_kept", {{"revision", std::to_string(revision)}});
    }
    co_return spread;
}

} // namespace borageford::admin
