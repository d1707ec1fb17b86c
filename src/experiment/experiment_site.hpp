// The store and the backend servers of an experiment, on loopback, and the faults that they meet.
#pragma once

#include "base/timer_service.hpp"
#include "emulator/emulated_backend.hpp"
#include "emulator/emulated_store.hpp"
#include "experiment/experiment_plan.hpp"
#include "routing/backend_record.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

/// Belongs to one executor. Servers that are replaced stay until the end, for what they recorded.
class experiment_site {
public:
    experiment_site(boost::asio::any_io_executor executor, timer_service& timers,
                    const experiment_plan& plan);

    /// Listens, writes the configuration and registers the servers.
    void start();
    /// Plans the faults from now on; `on_fault` is told of each begin and end.
    void begin_faults(std::function<void(std::string_view)> on_fault);

    [[nodiscard]] emulator::emulated_store& store() noexcept { return m_store; }
    [[nodiscard]] std::size_t server_count() const noexcept { return m_servers.size(); }

    // One server by its number, in the order of the file; its id changes with each start.
    void set_fault(std::size_t server, emulator::backend_fault fault);
    void set_slowness(std::size_t server, double factor);
    /// Gone without a word; its registration expires a moment later.
    void crash(std::size_t server);
    /// Back at its address, under a new id; nothing when it is there.
    void restart(std::size_t server);
    /// Announces that it leaves. It goes on serving what it has.
    void drain(std::size_t server);

    /// Runs of one request, over all servers there ever were.
    [[nodiscard]] std::size_t runs_of(std::string_view request_id) const;
    /// Every run of every request, by its id.
    [[nodiscard]] std::map<std::string, std::size_t> count_runs() const;

private:
    struct server_unit {
        std::size_t group = 0;
        boost::asio::ip::tcp::endpoint address;
        double speed = 1;
        unsigned starts = 0;
        std::unique_ptr<emulator::emulated_backend> server; ///< null while it is gone
    };

    void add_servers(std::size_t group);
    void start_server(server_unit& unit);
    void write_registration(const server_unit& unit, routing::backend_state state);
    void remove_registration(std::string id);
    void begin_fault(const planned_fault& fault);
    void end_fault(const planned_fault& fault);
    [[nodiscard]] std::vector<std::size_t> servers_of(const planned_fault& fault) const;
    void after(milliseconds delay, std::function<void()> call);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const experiment_plan& m_plan;
    emulator::emulated_store m_store;
    std::vector<server_unit> m_servers;
    std::vector<std::unique_ptr<emulator::emulated_backend>> m_former;
    std::vector<timer_subscription> m_planned;
};

} // namespace borageford::experiment
