// Callers: each sends its request at its time, comes back after a refusal as it was told, and its end is
// recorded.
#pragma once

#include "base/timer_service.hpp"
#include "experiment/experiment_plan.hpp"
#include "experiment/load_call.hpp"
#include "experiment/outcome_table.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace borageford::experiment {

/// Belongs to one executor.
class load_runner {
public:
    load_runner(boost::asio::any_io_executor executor, timer_service& timers, const experiment_plan& plan);
    ~load_runner();
    load_runner(const load_runner&) = delete;
    load_runner& operator=(const load_runner&) = delete;
    load_runner(load_runner&&) = delete;
    load_runner& operator=(load_runner&&) = delete;

    /// Asks all gateways whether they are ready; calls back with how many of them are.
    void ask_readiness(std::function<void(std::size_t)> answer);

    /// Sends all requests from now on; calls back when the last one has ended.
    void start(std::function<void()> on_done);

    [[nodiscard]] const outcome_table& outcomes() const noexcept { return m_outcomes; }
    /// Ids of requests of routes that may not run twice; each send of a caller has an id of its own.
    [[nodiscard]] const std::vector<std::string>& unrepeatable_ids() const noexcept {
        return m_unrepeatable_ids;
    }

private:
    struct caller;
    void send_due();
    void send(const std::shared_ptr<caller>& by);
    void take_result(const std::shared_ptr<caller>& by, const call_result& result);
    void come_back(const std::shared_ptr<caller>& by, milliseconds wait);
    void end(const std::shared_ptr<caller>& by, outcome what);
    [[nodiscard]] std::string compose(const caller& by, const std::string& id) const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint pick_gateway();

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const experiment_plan& m_plan;
    std::shared_ptr<kept_connections> m_kept = std::make_shared<kept_connections>();
    outcome_table m_outcomes;
    std::vector<std::string> m_unrepeatable_ids;
    std::vector<emulator::offered_request> m_offered;
    std::size_t m_next = 0;
    std::size_t m_open = 0;
    std::uint64_t m_last_id = 0;
    std::uint64_t m_run = 0; ///< makes ids of different runs differ
    clock::time_point m_begin;
    std::vector<bool> m_is_ready; ///< by gateway, as last asked
    std::mt19937_64 m_random;
    std::function<void()> m_on_done;
    timer_subscription m_timer;
    timer_subscription m_readiness_timer;
};

} // namespace borageford::experiment
