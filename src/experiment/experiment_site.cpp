// Starts the emulated servers, registers them in the store like servers of the platform, and injects the
// faults at the planned times.
#include "experiment/experiment_site.hpp"

#include "platform/backend_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/header_field_names.hpp"
#include "store/row.hpp"

#include <algorithm>
#include <utility>

namespace borageford::experiment {

namespace {

/// From a server's crash until its registration is removed: in the real system, the registration is removed
/// after several missing heartbeats.
constexpr milliseconds registration_life{1500};
/// From the end of a drained server until another one starts at its address.
constexpr milliseconds restart_delay{100};
constexpr double slow_store_unit_ms = 100;
/// A server's id ends in this number times its count of starts, plus the server's index.
constexpr std::uint64_t id_base = 1000;

std::string row_key(std::string_view id) {
    return std::string(platform::backend_table) + "/" + std::string(id);
}

} // namespace

experiment_site::experiment_site(boost::asio::any_io_executor executor, timer_service& timers,
                                 const experiment_plan& plan)
    : m_executor(std::move(executor)), m_timers(timers), m_plan(plan), m_store(m_executor, timers) {}

void experiment_site::start() {
    m_store_address = m_store.listen(m_plan.store);
    store::transaction change;
    change.puts.push_back(
        {std::string(platform::configuration_key), platform::encode_configuration(m_plan.configuration)});
    static_cast<void>(m_store.rows().transact(change));
    for (std::size_t group = 0; group < m_plan.servers.size(); ++group) {
        add_servers(group);
    }
}

void experiment_site::add_servers(std::size_t group) {
    const auto& planned = m_plan.servers[group];
    for (std::size_t index = 0; index < planned.count; ++index) {
        auto address = planned.first_address;
        if (address.port() != 0) {
            address.port(static_cast<std::uint16_t>(address.port() + index));
        }
        auto& unit = m_servers.emplace_back();
        unit.group = group;
        unit.address = address;
        unit.speed = planned.speeds[index % planned.speeds.size()];
        unit.software = planned.software.empty() ? "" : planned.software[index % planned.software.size()];
        start_server(unit, next_id(unit));
    }
}

std::string experiment_site::next_id(server_unit& unit) const {
    const auto number = static_cast<std::uint64_t>(&unit - m_servers.data());
    return m_plan.servers[unit.group].service + "-" + std::to_string(id_base * (unit.starts + 1) + number);
}

void experiment_site::start_server(server_unit& unit, std::string id) {
    const auto& group = m_plan.servers[unit.group];
    emulator::backend_options options;
    options.id = std::move(id);
    options.start = ++unit.starts;
    unit.id = options.id;
    options.service = group.service;
    options.version = unit.software;
    options.slots = group.slots;
    options.work = group.work;
    options.keep_alive = group.keep_alive;
    options.padding = group.padding;
    options.unread_limit = group.unread_limit;
    options.engine = group.engine;
    if (options.engine) {
        options.engine->speed = unit.speed;
    }
    unit.server = std::make_unique<emulator::emulated_backend>(m_executor, m_timers,
                                                               platform::header_field_names(), options);
    // If the kernel chose the port, another process may have got the port since the last start, so that the
    // kernel has to choose again.
    const bool is_chosen = group.first_address.port() == 0;
    unit.address = unit.server->listen(is_chosen ? group.first_address : unit.address);
    unit.state = routing::backend_state::ready;
    apply_crash_rule(unit);
    write_registration(unit);
}

void experiment_site::set_crash_rule(const emulator::crash_rule& rule, milliseconds back_after) {
    m_crash_rule = rule;
    m_back_after = back_after;
    for (auto& unit : m_servers) {
        if (unit.server != nullptr) {
            apply_crash_rule(unit);
        }
    }
}

void experiment_site::apply_crash_rule(server_unit& unit) {
    const auto number = static_cast<std::size_t>(&unit - m_servers.data());
    unit.server->set_crash_rule(m_crash_rule, [this, number, crashed = unit.server.get()] {
        if (m_servers[number].server.get() == crashed) {
            crash(number);
            after(m_back_after, [this, number] { restart(number); });
        }
    });
}

emulator::fatal_record experiment_site::fatal_by_body() const {
    emulator::fatal_record result;
    visit_servers(
        [&result](const emulator::emulated_backend& server) { result.add(server.fatal_by_body()); });
    return result;
}

emulator::fatal_record experiment_site::fatal_by_part() const {
    emulator::fatal_record result;
    visit_servers(
        [&result](const emulator::emulated_backend& server) { result.add(server.fatal_by_part()); });
    return result;
}

void experiment_site::write_registration(const server_unit& unit) {
    routing::backend_record record;
    record.id = unit.server->options().id;
    record.start = unit.server->options().start;
    record.service = unit.server->options().service;
    record.version = unit.server->options().version;
    const auto number = static_cast<std::size_t>(&unit - m_servers.data());
    record.address = m_address_mapping ? m_address_mapping(number, unit.address) : unit.address;
    record.failure_domain = "a";
    record.slots = unit.server->options().slots;
    record.state = unit.state;
    store::transaction change;
    change.puts.push_back({row_key(record.id), platform::encode_backend(record)});
    static_cast<void>(m_store.rows().transact(change));
}

void experiment_site::write_row(std::string_view id, std::string value) {
    store::transaction change;
    change.puts.push_back({row_key(id), std::move(value)});
    static_cast<void>(m_store.rows().transact(change));
}

void experiment_site::remove_row(std::string_view id) {
    store::transaction change;
    change.deletes.push_back(row_key(id));
    static_cast<void>(m_store.rows().transact(change));
}

void experiment_site::set_fault(std::size_t server, emulator::backend_fault fault) {
    if (auto& unit = m_servers.at(server); unit.server != nullptr) {
        unit.server->set_fault(fault);
    }
}

void experiment_site::set_partial_faults(std::size_t server, const emulator::partial_faults& faults) {
    if (auto& unit = m_servers.at(server); unit.server != nullptr) {
        unit.server->set_partial_faults(faults);
    }
}

void experiment_site::set_slowness(std::size_t server, double factor) {
    if (auto& unit = m_servers.at(server); unit.server != nullptr) {
        unit.server->set_slowness(factor);
    }
}

void experiment_site::set_rate_limit(std::size_t server, std::optional<double> per_second) {
    if (auto& unit = m_servers.at(server); unit.server != nullptr) {
        unit.server->set_rate_limit(per_second);
    }
}

void experiment_site::set_pause(std::size_t server, std::chrono::milliseconds pause) {
    if (auto& unit = m_servers.at(server); unit.server != nullptr) {
        unit.server->set_pause(pause);
    }
}

void experiment_site::crash(std::size_t server) {
    auto& unit = m_servers.at(server);
    if (unit.server == nullptr) {
        return;
    }
    const auto id = unit.server->options().id;
    unit.server->stop();
    m_stopped.push_back(std::move(unit.server));
    const auto number = unit.starts;
    after(registration_life, [this, id, server, number] {
        const auto& now = m_servers.at(server);
        if (now.id != id || now.starts == number) { // otherwise the server was started again under this id
            remove_row(id);
        }
    });
}

void experiment_site::overwrite_row(std::size_t server, std::string value) {
    if (m_servers.at(server).server != nullptr) {
        write_row(m_servers[server].id, std::move(value));
    }
}

void experiment_site::renew_registration(std::size_t server) {
    if (m_servers.at(server).server != nullptr) {
        write_registration(m_servers[server]);
    }
}

void experiment_site::restart_in_place(std::size_t server) {
    auto& unit = m_servers.at(server);
    if (unit.server != nullptr) {
        unit.server->stop();
        m_stopped.push_back(std::move(unit.server));
        start_server(unit, unit.id);
    }
}

void experiment_site::restart(std::size_t server) {
    auto& unit = m_servers.at(server);
    if (unit.server == nullptr) {
        start_server(unit, next_id(unit));
    }
}

void experiment_site::drain(std::size_t server) {
    auto& unit = m_servers.at(server);
    if (unit.server != nullptr) {
        unit.state = routing::backend_state::draining;
        unit.server->set_leaving();
        write_registration(unit);
    }
}

void experiment_site::visit_servers(
    const std::function<void(const emulator::emulated_backend&)>& visit) const {
    for (const auto& unit : m_servers) {
        if (unit.server != nullptr) {
            visit(*unit.server);
        }
    }
    for (const auto& server : m_stopped) {
        visit(*server);
    }
}

std::string experiment_site::server_name(std::size_t server) const {
    const auto& unit = m_servers.at(server);
    return unit.server != nullptr ? unit.server->name() : std::string();
}

void experiment_site::after(milliseconds delay, std::function<void()> call) {
    m_scheduled_calls.push_back(m_timers.after(m_executor, delay, std::move(call)));
}

void experiment_site::begin_faults(fault_observers observers) {
    m_fault_observers = std::move(observers);
    for (const auto& fault : m_plan.faults) {
        after(fault.at, [this, &fault] {
            m_fault_observers.on_fault(fault.name + " begins");
            begin_fault(fault);
        });
        after(fault.at + fault.length, [this, &fault] {
            m_fault_observers.on_fault(fault.name + " ends");
            end_fault(fault);
        });
    }
}

std::vector<std::size_t> experiment_site::servers_of(const planned_fault& fault) const {
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < m_servers.size() && result.size() < fault.count; ++index) {
        if (m_plan.servers[m_servers[index].group].service == fault.service) {
            result.push_back(index);
        }
    }
    return result;
}

void experiment_site::begin_fault(const planned_fault& fault) {
    using emulator::backend_fault;
    using emulator::store_state;
    const auto servers = servers_of(fault);
    const auto set_all = [&](backend_fault what) {
        std::ranges::for_each(servers, [&](std::size_t server) { set_fault(server, what); });
    };
    switch (fault.kind) {
    case fault_kind::crash:
        std::ranges::for_each(servers, [&](std::size_t server) { crash(server); });
        break;
    case fault_kind::hang:
        set_all(backend_fault::hang);
        break;
    case fault_kind::fail:
        set_all(backend_fault::error);
        break;
    case fault_kind::cut:
        set_all(backend_fault::cut_midway);
        break;
    case fault_kind::slow:
        std::ranges::for_each(servers, [&](std::size_t server) { set_slowness(server, fault.factor); });
        break;
    case fault_kind::drain:
        std::ranges::for_each(servers, [&](std::size_t server) { drain(server); });
        break;
    case fault_kind::limit:
        std::ranges::for_each(servers, [&](auto server) { set_rate_limit(server, fault.per_second); });
        break;
    case fault_kind::refuse:
        set_all(backend_fault::refuse);
        std::ranges::for_each(servers, [&](auto server) { set_pause(server, fault.pause); });
        break;
    case fault_kind::irregular:
        std::ranges::for_each(servers, [&](auto server) { set_partial_faults(server, fault.faults); });
        break;
    case fault_kind::gateway_lost:
        m_fault_observers.on_gateway_loss(fault.gateway);
        break;
    case fault_kind::store_refuses:
        m_store.set_state(store_state::busy);
        break;
    case fault_kind::store_returns:
        m_store.set_state(store_state::reset);
        break;
    case fault_kind::store_silent:
        m_store.set_state(store_state::silent);
        break;
    case fault_kind::store_slow:
        m_store.set_delay(milliseconds(static_cast<long>(fault.factor * slow_store_unit_ms)));
        break;
    }
}

void experiment_site::end_fault(const planned_fault& fault) {
    if (fault.kind == fault_kind::gateway_lost) {
        m_fault_observers.on_gateway_return(fault.gateway);
        return;
    }
    if (fault.kind == fault_kind::store_slow) {
        m_store.set_delay(milliseconds(0));
        return;
    }
    if (fault.kind == fault_kind::store_returns) {
        m_store.restore_from_copy({fault.copy_age, fault.rewritten_after, fault.rewritten_after});
    }
    if (fault.kind >= fault_kind::store_refuses) {
        m_store.set_state(emulator::store_state::available);
        return;
    }
    for (const auto server : servers_of(fault)) {
        if (fault.kind == fault_kind::limit) {
            set_rate_limit(server, std::nullopt);
            continue;
        }
        if (!fault.software.empty()) {
            m_servers[server].software = fault.software;
        }
        if (fault.kind == fault_kind::drain) {
            crash(server);
            // The address is free once the stopped server has closed its socket.
            after(restart_delay, [this, server] { restart(server); });
        } else {
            restart(server);
        }
        set_fault(server, emulator::backend_fault::none);
        set_partial_faults(server, {});
        set_pause(server, milliseconds(0));
        set_slowness(server, m_servers[server].speed);
    }
}

} // namespace borageford::experiment
