// The emulated store and backend servers of an experiment, on loopback addresses, with fault injection.
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
#include <utility>
#include <vector>

namespace borageford::experiment {

/// Must be used on one executor only. Stopped servers are kept until the end, because they hold the records
/// of the requests that they ran.
class experiment_site {
public:
    experiment_site(boost::asio::any_io_executor executor, timer_service& timers,
                    const experiment_plan& plan);

    /// Returns the address to register for a server, given the server's number and the address on which it
    /// listens.
    using address_mapping = std::function<boost::asio::ip::tcp::endpoint(
        std::size_t server, const boost::asio::ip::tcp::endpoint& listening)>;
    /// Registers servers under the addresses that `publish` returns. Without this call, the addresses on
    /// which the servers listen are registered.
    void set_address_mapping(address_mapping publish) { m_address_mapping = std::move(publish); }

    /// Starts the store and the servers, writes the configuration, and registers the servers.
    void start();
    /// What the site tells its user about faults.
    struct fault_observers {
        std::function<void(std::string_view)> on_fault; ///< called at each begin and end
        /// A gateway, which runs in another process, has to be killed, or to be started again.
        std::function<void(std::size_t gateway)> on_gateway_loss = [](std::size_t) {
        };
        std::function<void(std::size_t gateway)> on_gateway_return = [](std::size_t) {
        };
    };
    /// Schedules the faults, whose times count from this call.
    void begin_faults(fault_observers observers);

    [[nodiscard]] emulator::emulated_store& store() noexcept { return m_store; }
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& store_address() const noexcept {
        return m_store_address;
    }
    [[nodiscard]] std::size_t server_count() const noexcept { return m_servers.size(); }

    // Each of these functions acts on one server, given its number in the order of the experiment's file.

    /// Does nothing while the server is stopped.
    void set_fault(std::size_t server, emulator::backend_fault fault);
    /// The same for faults in some of its answers.
    void set_partial_faults(std::size_t server, const emulator::partial_faults& faults);
    /// Makes the server's work take `factor` times as long; does nothing while the server is stopped.
    void set_slowness(std::size_t server, double factor);
    /// Lets the server name a rate limit, in requests per second, or none; does nothing while it is stopped.
    void set_rate_limit(std::size_t server, std::optional<double> per_second);
    /// Stops the server without notice; its registration is removed from the store 1.5 s later.
    void crash(std::size_t server);
    /// Lets all servers, and those that are started later, crash by the requests that the rule names. They
    /// are back after `back_after`.
    void set_crash_rule(const emulator::crash_rule& rule, milliseconds back_after);
    /// The requests that the rule names by their bodies, and those that it names by a part, at all servers.
    [[nodiscard]] emulator::fatal_record fatal_by_body() const;
    [[nodiscard]] emulator::fatal_record fatal_by_part() const;
    /// Starts a stopped server under a new id, at the same address if the plan gives one. Does nothing while
    /// the server runs.
    void restart(std::size_t server);
    /// Stops the server and starts it again at once under the same id, with the next start number.
    void restart_in_place(std::size_t server);
    /// Registers the server as draining. It goes on serving the requests that it has.
    void drain(std::size_t server);

    /// Lets the server ask for this pause in its refusals, or for none; does nothing while it is stopped.
    void set_pause(std::size_t server, std::chrono::milliseconds pause);

    /// Calls `visit` with every server, first the running ones, then the stopped ones.
    void visit_servers(const std::function<void(const emulator::emulated_backend&)>& visit) const;
    /// The name of a running server, including its start number; empty while it is stopped.
    [[nodiscard]] std::string server_name(std::size_t server) const;

    /// Writes a row into the table of backend servers, as a program other than the server could.
    void write_row(std::string_view id, std::string value);
    /// Removes a row from the table of backend servers.
    void remove_row(std::string_view id);
    /// Overwrites the row of a running server; renew_registration() restores it.
    void overwrite_row(std::size_t server, std::string value);
    /// Writes the registration of a running server again.
    void renew_registration(std::size_t server);

private:
    /// One server of the plan, through all its starts.
    struct server_unit {
        std::size_t group = 0; ///< index in experiment_plan::servers
        boost::asio::ip::tcp::endpoint address;
        double speed = 1;                                             ///< factor of an engine's speed
        std::string software;                                         ///< its version; empty: not reported
        unsigned starts = 0;                                          ///< how often it was started so far
        std::string id;                                               ///< the id of its last start
        routing::backend_state state = routing::backend_state::ready; ///< as registered
        std::unique_ptr<emulator::emulated_backend> server;           ///< null while it is stopped
    };

    void add_servers(std::size_t group);
    [[nodiscard]] std::string next_id(server_unit& unit) const;
    void start_server(server_unit& unit, std::string id);
    void apply_crash_rule(server_unit& unit);
    void write_registration(const server_unit& unit);
    void begin_fault(const planned_fault& fault);
    void end_fault(const planned_fault& fault);
    [[nodiscard]] std::vector<std::size_t> servers_of(const planned_fault& fault) const;
    void after(milliseconds delay, std::function<void()> call);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const experiment_plan& m_plan;
    fault_observers m_fault_observers;
    emulator::emulated_store m_store;
    boost::asio::ip::tcp::endpoint m_store_address;
    address_mapping m_address_mapping;
    emulator::crash_rule m_crash_rule;
    milliseconds m_back_after{0}; ///< from such a crash until the server is started again
    std::vector<server_unit> m_servers;
    std::vector<std::unique_ptr<emulator::emulated_backend>> m_stopped; ///< stopped servers
    std::vector<timer_subscription> m_scheduled_calls;                  ///< calls at later times
};

} // namespace borageford::experiment
