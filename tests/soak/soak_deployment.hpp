// The parts of one soak: gateways as real processes, the store and the backend servers emulated here, and a
// proxy on each way between them. Faults are brought about from outside.
#pragma once

#include "base/timer_service.hpp"
#include "experiment/experiment_plan.hpp"
#include "experiment/experiment_site.hpp"
#include "soak/disturbance_log.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/promise_checks.hpp"
#include "soak/sent_request.hpp"
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

struct deployment_size {
    std::size_t gateways = 3;
    std::size_t plain_servers = 3;
    std::size_t engines = 3;
};

/// The names that callers use.
inline constexpr std::string_view soak_host = "soak.example";
inline constexpr std::string_view open_workspace = "open";
inline constexpr std::string_view limited_workspace = "limited";
/// Calls that the limited workspace may make.
inline constexpr double limited_rate = 20;
inline constexpr double limited_burst = 20;
/// What gateways are configured with, and what is checked.
inline constexpr double allowance_slack = 30;
inline constexpr milliseconds allowance_window{8000};
inline constexpr double retry_ratio = 0.2;
inline constexpr double retry_reserve = 50;
inline constexpr milliseconds retry_window{10000};

/// Commands come from the thread that plays the schedule; what is emulated runs on a thread of its own.
/// Invariant: all processes that were started are ended by the destructor.
class soak_deployment {
public:
    soak_deployment(deployment_size size, std::filesystem::path folder);
    ~soak_deployment();
    soak_deployment(const soak_deployment&) = delete;
    soak_deployment& operator=(const soak_deployment&) = delete;
    soak_deployment(soak_deployment&&) = delete;
    soak_deployment& operator=(soak_deployment&&) = delete;

    void begin(const planned_fault& fault);
    void end(const planned_fault& fault);

    /// Ended processes are started again where that is due, logs are kept, and ends of their own are noted.
    void look_after();
    /// Everything is as at the start again; all gateways are there.
    void restore();

    /// Runs something on the emulated parts' thread and returns its result.
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
    [[nodiscard]] boost::asio::ip::tcp::endpoint callers(std::size_t gateway) const;
    [[nodiscard]] boost::asio::ip::tcp::endpoint readiness(std::size_t gateway) const;
    /// Starts of a gateway so far; may be asked from any thread.
    [[nodiscard]] unsigned life(std::size_t gateway) const;

    /// On the emulated parts' thread: routes that were added since the start, and the service that the moving
    /// route leads to.
    [[nodiscard]] unsigned added_routes() const noexcept { return m_added_routes; }
    [[nodiscard]] const std::string& moving_service() const noexcept { return m_moving_service; }
    [[nodiscard]] const std::vector<route_move>& moves() const noexcept { return m_moves; }
    [[nodiscard]] std::vector<server_run> collect_runs() const;
    /// The run of this number at a server, present or former; nothing when there is none.
    [[nodiscard]] std::optional<server_run> find_run(const std::string& server, std::size_t number) const;
    [[nodiscard]] const std::vector<leaving_server>& leaving() const noexcept { return m_leaving; }

    // On the schedule's thread.
    [[nodiscard]] const disturbance_log& disturbances() const noexcept { return m_disturbances; }
    [[nodiscard]] const broken_promises& own_ends() const noexcept { return m_own_ends; }

private:
    struct gateway_unit {
        std::unique_ptr<test::child_process> process;
        std::filesystem::path settings;
        std::unique_ptr<test::fault_proxy> store_path;
        bool has_started = false; ///< it handles signals
        bool is_frozen = false;
        bool is_stopping = false;
        std::size_t stopping_disturbance = 0;
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
    void note(const planned_fault& fault, disturbance_kind kind, std::optional<std::size_t> gateway);
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
    std::vector<leaving_server> m_leaving;
    disturbance_log m_disturbances;
    std::map<const planned_fault*, std::size_t> m_open_disturbances;
    broken_promises m_own_ends;
    mutable std::mutex m_lives_mutex;
    std::vector<unsigned> m_lives; ///< guarded by m_lives_mutex
    std::jthread m_thread;
};

} // namespace borageford::soak
