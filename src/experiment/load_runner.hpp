// Generates the load of an experiment. Each emulated caller sends its request at the planned time and retries
// after a refusal when the Retry-After header says so; the outcome of each request is recorded.
#pragma once

#include "base/timer_service.hpp"
#include "experiment/experiment_plan.hpp"
#include "experiment/load_call.hpp"
#include "experiment/outcome_table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace borageford::experiment {

/// Must be used on one executor only.
class load_runner {
public:
    load_runner(boost::asio::any_io_executor executor, timer_service& timers, const experiment_plan& plan);
    ~load_runner();
    load_runner(const load_runner&) = delete;
    load_runner& operator=(const load_runner&) = delete;
    load_runner(load_runner&&) = delete;
    load_runner& operator=(load_runner&&) = delete;

    /// Requests the readiness of all gateways, and then calls `answer` with the number of ready gateways.
    void check_readiness(std::function<void(std::size_t)> answer);

    /// Sends all requests at their planned times, which count from this call, and calls `on_done` when the
    /// last request has ended.
    void start(std::function<void()> on_done);

    [[nodiscard]] const outcome_table& outcomes() const noexcept { return m_outcomes; }
    /// The ids of all requests on routes whose requests must run at most once. Each attempt of a caller has
    /// an id of its own.
    [[nodiscard]] const std::set<std::string, std::less<>>& at_most_once_ids() const noexcept {
        return m_at_most_once_ids;
    }
    /// The ids of requests whose callers were told that they haven't run and never will.
    [[nodiscard]] const std::set<std::string, std::less<>>& not_run_ids() const noexcept {
        return m_not_run_ids;
    }
    /// When requests were sent, by the service of their route. Each attempt of a caller counts.
    [[nodiscard]] const std::map<std::string, std::vector<clock::time_point>>& sent() const noexcept {
        return m_sent;
    }

    /// What became of the streams that callers resumed after they had broken off.
    struct stream_counts {
        std::size_t resumed = 0; ///< attempts that brought more events of a stream
        std::size_t mixed = 0;   ///< streams with events of several software versions
    };
    [[nodiscard]] const stream_counts& streams() const noexcept { return m_streams; }

private:
    struct caller;

    void send_due();
    void send(const std::shared_ptr<caller>& sender);
    void handle_result(const std::shared_ptr<caller>& sender, const call_result& result);
    void schedule_retry(const std::shared_ptr<caller>& sender, milliseconds wait);
    void end(const std::shared_ptr<caller>& sender, outcome what);
    [[nodiscard]] const routing::route& route_of(const caller& sender) const;
    void record_stream(caller& sender, const call_result& result);
    [[nodiscard]] std::string compose(const caller& sender, const std::string& id) const;
    /// Where an attempt is sent, and on which connections.
    struct destination {
        boost::asio::ip::tcp::endpoint address;
        std::shared_ptr<connection_pool> pool;
    };
    [[nodiscard]] destination pick_gateway();
    [[nodiscard]] std::optional<std::size_t> pick_in_rush(std::span<const std::size_t> ready);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const experiment_plan& m_plan;
    std::shared_ptr<connection_pool> m_pool = std::make_shared<connection_pool>();
    outcome_table m_outcomes;
    std::set<std::string, std::less<>> m_at_most_once_ids;
    std::set<std::string, std::less<>> m_not_run_ids;
    std::map<std::string, std::vector<clock::time_point>> m_sent;
    stream_counts m_streams;
    std::vector<emulator::offered_request> m_offered;
    std::size_t m_next = 0;        ///< index of the next request to send
    std::size_t m_in_progress = 0; ///< requests sent that haven't ended
    std::uint64_t m_last_id = 0;   ///< number in the latest request id
    std::uint64_t m_run = 0;       ///< random number in the request ids, so that ids of different runs differ
    clock::time_point m_begin;
    std::vector<bool> m_is_ready; ///< by gateway, as of the latest check
    std::mt19937_64 m_random;
    std::function<void()> m_on_done;
    timer_subscription m_timer;
    timer_subscription m_readiness_timer;
};

} // namespace borageford::experiment
