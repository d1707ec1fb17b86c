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
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageford::experiment {

/// Belongs to one executor. Servers that are replaced stay until the end, for what they recorded.
class experiment_site {
public:
    experiment_site(boost::asio::any_io_executor executor, timer_service& timers,
                    const experiment_plan& plan);

    /// The address that a server is registered under, given its number and where it listens. Without one,
    /// servers register where they listen.
    using publisher = std::function<boost::asio::ip::tcp::endpoint(
        std::size_t server, const boost::asio::ip::tcp::endpoint& listening)>;
    void publish_with(publisher publish) { m_publish = std::move(publish); }

    /// Listens, writes the configuration and registers the servers.
    void start();
    /// Plans the faults from now on; `on_fault` is told of each begin and end.
    void begin_faults(std::function<void(std::string_view)> on_fault);

    [[nodiscard]] emulator::emulated_store& store() noexcept { return m_store; }
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& store_address() const noexcept {
        return m_store_address;
    }
    [[nodiscard]] std::size_t server_count() const noexcept { return m_servers.size(); }

    // One server by its number, in the order of the file.
    void set_fault(std::size_t server, emulator::backend_fault fault);
    void set_slowness(std::size_t server, double factor);
    /// Gone without a word; its registration expires a moment later.
    void crash(std::size_t server);
    /// Back under a new id, at its address if the plan gives one; nothing when it is there.
    void restart(std::size_t server);
    /// Crashes and is back at once under the id that it had, as another start.
    void restart_in_place(std::size_t server);
    /// Announces that it leaves. It goes on serving what it has.
    void drain(std::size_t server);

    /// The servers that are there, and those that were.
    void visit_servers(const std::function<void(const emulator::emulated_backend&)>& visit) const;
    /// How many runs each request had, by its id.
    [[nodiscard]] std::map<std::string, std::size_t> count_runs() const;
    /// The name of a server's present start; empty while it is gone.
    [[nodiscard]] std::string server_name(std::size_t server) const;

    /// Writes an entry into the table of servers, as another program would.
    void write_entry(std::string_view id, std::string value);
    void remove_entry(std::string_view id);
    /// The same under the id of a server that is there, until the server writes its own word again.
    void overwrite_entry(std::size_t server, std::string value);
    void renew_entry(std::size_t server);

private:
    struct server_unit {
        std::size_t group = 0;
        boost::asio::ip::tcp::endpoint address;
        double speed = 1;
        unsigned starts = 0;
        std::string id;                                               ///< of its last start
        routing::backend_state state = routing::backend_state::ready; ///< that it tells
        std::unique_ptr<emulator::emulated_backend> server;           ///< null while it is gone
    };

    void add_servers(std::size_t group);
    [[nodiscard]] std::string draw_id(server_unit& unit) const;
    void start_server(server_unit& unit, std::string id);
    void write_registration(const server_unit& unit);
    void begin_fault(const planned_fault& fault);
    void end_fault(const planned_fault& fault);
    [[nodiscard]] std::vector<std::size_t> servers_of(const planned_fault& fault) const;
    void after(milliseconds delay, std::function<void()> call);

    boost::asio::any_io_executor m_executor;
    timer_service& m_timers;
    const experiment_plan& m_plan;
    emulator::emulated_store m_store;
    boost::asio::ip::tcp::endpoint m_store_address;
    publisher m_publish;
    std::vector<server_unit> m_servers;
    std::vector<std::unique_ptr<emulator::emulated_backend>> m_former;
    std::vector<timer_subscription> m_planned;
};

} // namespace borageford::experiment
