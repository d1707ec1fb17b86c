// The deployment of one soak: gateways as real processes, the store and the backend servers emulated in the
// soak's process, and a fault_proxy between each gateway and the store and in front of each server. Injects
// the planned faults.
#pragma once

#include "base/timer_service.hpp"
#include "experiment/experiment_plan.hpp"
#include "experiment/experiment_site.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/promise_checks.hpp"
#include "soak/sent_request.hpp"
#include "soak/statement_checks.hpp"
#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

namespace borageford::soak {

/// The numbers of processes and emulated servers.
struct deployment_size {
    std::size_t gateways = 3;
    std::size_t plain_servers = 3;
    std::size_t engines = 3;
};

/// The host and the workspaces of the callers' requests.
inline constexpr std::string_view soak_host = "soak.example";
inline constexpr std::string_view open_workspace = "open";
inline constexpr std::string_view limited_workspace = "limited";
/// Parts of prompts: one that all streams share, and one that crashes the servers that begin to write on it.
inline constexpr std::string_view harmless_part = "5c1e07a2";
inline constexpr std::string_view fatal_part = "91bd3f06";
/// Requests per second, and the burst, that the limited workspace may send.
inline constexpr double limited_rate = 20;
inline constexpr double limited_burst = 20;
/// Bytes that are added to each answer and event, so that callers that read slowly let the servers wait.
inline constexpr std::size_t answer_padding = 4096;
/// A server ends an answer of which nothing is read for this time.
inline constexpr milliseconds unread_limit{2500};
inline constexpr std::string_view memory_limit = "4MiB";
/// Values of the gateways' settings with these names, which the checks of limits use, too.
inline constexpr double allowance_slack = 30;
inline constexpr milliseconds allowance_window{8000};
inline constexpr double retry_ratio = 0.2;
inline constexpr double retry_reserve = 50;
inline constexpr milliseconds retry_window{10000};

/// Used by the thread that plays the schedule of faults; the emulated store and servers run on a thread of
/// their own. Invariant: the destructor ends all processes.
class soak_deployment {
public:
    soak_deployment(deployment_size size, std::filesystem::path folder);
    ~soak_deployment();
    soak_deployment(const soak_deployment&) = delete;
    soak_deployment& operator=(const soak_deployment&) = delete;
    soak_deployment(soak_deployment&&) = delete;
    soak_deployment& operator=(soak_deployment&&) = delete;

    /// Puts a fault into effect, and ends it. Both calls for a fault must get the same object.
    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);

    /// To be called regularly: writes the gateways' output to log files, starts gateways again whose process
    /// has ended, and records an end that no fault caused in unexpected_exits().
    void supervise_gateways();
    /// Ends all faults and starts all gateways that aren't running.
    void restore();

    /// Runs `function` on the thread of the emulated parts and returns its result.
    template <typename Function>
    auto on_emulator(Function function) -> std::invoke_result_t<Function> {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return result.get();
    }

    [[nodiscard]] boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    [[nodiscard]] timer_service& timers() noexcept { return m_timers; }
    [[nodiscard]] std::size_t gateway_count() const noexcept { return m_gateways.size(); }
    [[nodiscard]] std::size_t server_count() const noexcept { return m_server_proxies.size(); }
    /// The addresses on which a gateway answers callers and readiness checks.
    [[nodiscard]] boost::asio::ip::tcp::endpoint callers(std::size_t gateway) const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint readiness(std::size_t gateway) const;
    /// How often a gateway was started; may be called from any thread.
    [[nodiscard]] unsigned start_count(std::size_t gateway) const;

    // The functions from here to draining_servers() may only be called on the thread of the emulated parts.

    /// Number of routes that were added since the start; they are named "added-0", "added-1", ...
    [[nodiscard]] unsigned added_routes() const noexcept { return m_added_routes; }
    /// The current service of the route "moving".
    [[nodiscard]] const std::string& moving_service() const noexcept { return m_moving_service; }
    /// All changes of the service of the route "moving", in order of time; the first is its service at the
    /// start.
    [[nodiscard]] const std::vector<route_move>& moves() const noexcept { return m_moves; }
    /// All runs on all servers, including servers that have been stopped.
    [[nodiscard]] std::vector<server_run> collect_runs() const;
    /// The run with this index on a server, which may have been stopped; nothing when there is none.
    [[nodiscard]] std::optional<server_run> find_run(const std::string& server, std::size_t number) const;
    /// The arrivals at each server that has named a rate limit, including servers that have been stopped.
    [[nodiscard]] std::vector<limited_server> collect_limited_servers() const;
    [[nodiscard]] std::vector<stating_server> collect_stating_servers() const;
    /// The requests that crash servers, by their bodies and by a part of their prompts.
    [[nodiscard]] emulator::fatal_record fatal_by_body() const { return m_site->fatal_by_body(); }
    [[nodiscard]] emulator::fatal_record fatal_by_part() const { return m_site->fatal_by_part(); }
    /// The requests that reached servers, by service.
    [[nodiscard]] std::map<std::string, std::vector<emulator::recorded_arrival>> collect_arrivals() const;
    /// What was held back on its way to the servers. All servers must be running.
    [[nodiscard]] std::vector<held_delivery> collect_held_deliveries() const;
    /// The servers that have announced that they drain.
    [[nodiscard]] const std::vector<draining_server>& draining_servers() const noexcept {
        return m_draining_servers;
    }

    /// When all gateways were killed at once.
    [[nodiscard]] const std::vector<clock::time_point>& all_gateways_lost() const noexcept {
        return m_all_gateways_lost;
    }

    // These may only be called on the thread that plays the schedule.

    /// The disturbances that the faults caused.
    [[nodiscard]] const disturbance_log& disturbances() const noexcept { return m_disturbances; }
    /// One line for each gateway process that ended although no fault had killed or stopped it, or that
    /// didn't end with exit code 0 after SIGTERM.
    [[nodiscard]] const broken_promises& unexpected_exits() const noexcept { return m_unexpected_exits; }

private:
    struct gateway_unit {
        std::unique_ptr<test::child_process> process;
        std::filesystem::path settings;
        std::unique_ptr<test::fault_proxy> store_path;
        bool has_started = false; ///< the process has reported its start, so it handles signals
        bool is_frozen = false;
        bool is_stopping = false;
        std::size_t stopping_disturbance = 0; ///< number in the disturbance_log while `is_stopping`
    };

    void start_gateway(std::size_t index);
    void kill_gateway(std::size_t index);
    void keep_log(std::size_t index);
    void begin_gateway_fault(const planned_fault& fault);
    void begin_server_fault(const planned_fault& fault);
    void begin_server_path_fault(const planned_fault& fault);
    void end_server_fault(const planned_fault& fault);
    void restart_in_place(const planned_fault& fault);
    void write_foreign_entries(const planned_fault& fault);
    void end_foreign_entries(const planned_fault& fault);
    void begin_store_fault(const planned_fault& fault);
    void change_configuration(fault_kind kind);
    void write_configuration();
    void record_disturbance(const planned_fault& fault, disturbance_kind kind,
                            std::optional<std::size_t> gateway);
    boost::asio::ip::tcp::endpoint publish(std::size_t server,
                                           const boost::asio::ip::tcp::endpoint& listening);

    std::filesystem::path m_folder;
    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_context.get_executor()};
    timer_service m_timers;
    experiment::experiment_plan m_plan;
    std::unique_ptr<experiment::experiment_site> m_site;
    std::map<std::size_t, std::unique_ptr<test::fault_proxy>> m_server_proxies;
    std::vector<gateway_unit> m_gateways;
    std::uint16_t m_port = 0;
    unsigned m_added_routes = 0;
    std::string m_moving_service;
    std::vector<route_move> m_moves;
    std::vector<draining_server> m_draining_servers;
    disturbance_log m_disturbances;
    std::map<const planned_fault*, std::size_t> m_open_disturbances;
    std::vector<clock::time_point> m_all_gateways_lost;
    broken_promises m_unexpected_exits;
    mutable std::mutex m_start_counts_mutex;
    std::vector<unsigned> m_start_counts; ///< guarded by m_start_counts_mutex
    std::jthread m_thread;
};

} // namespace borageford::soak
