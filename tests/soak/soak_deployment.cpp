// Starts and supervises the gateways, and turns each kind of fault into calls of a process, a proxy or an
// emulated part.
#include "soak/soak_deployment.hpp"

#include "experiment/gateway_files.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/header_field_names.hpp"
#include "store/row.hpp"
#include "support/free_ports.hpp"

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace borageford::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using emulator::backend_fault;
using emulator::store_state;

namespace {

constexpr unsigned engine_slots = 4;
constexpr unsigned plain_slots = 8;
/// Tokens of the memory of an engine as the configuration states it: for as many requests as it has slots,
/// if these aren't all among the longest. An engine crashes with some more, which it may hold only for
/// gateways that were killed or are frozen.
constexpr std::uint64_t engine_memory = 1000;
constexpr double crashing_memory = 1200;
constexpr unsigned server_connections = 96;
/// What a server that refuses requests asks for in its refusals.
constexpr milliseconds refusal_pause{1500};
constexpr unsigned max_attempts = 3;
constexpr milliseconds route_timeout{4000};
constexpr milliseconds slow_store_answer{400};
constexpr milliseconds path_delay{150};
/// Age of the copy from which the store is restored: writes in this time before the restore are lost.
constexpr milliseconds age_of_copy{4000};
/// How long after a store restore the servers or the operator write their lost rows again.
constexpr milliseconds early_rewrite{300};
constexpr milliseconds late_rewrite{1200};
constexpr double slow_factor = 6;
/// From the crash of a server by a request until it is back.
constexpr milliseconds back_after_crash{800};
/// With more gateways than this, servers ask them to keep idle connections for `short_keep_alive` only. Each
/// connection between a gateway and a server takes three descriptors of this process. 250 gateways that kept
/// their connections for some seconds used up its 20,000 descriptors within 2 s; after that, no server could
/// be started and no connection accepted.
constexpr std::size_t max_gateways_with_long_keep_alive = 100;
constexpr std::chrono::seconds short_keep_alive{1};
/// A gateway that has printed this event handles signals.
constexpr std::string_view started_event = R"("event":"started")";
/// Indices of the services in the configuration.
enum service_index : std::size_t { plain_service, engine_service, other_service };

routing::route make_route(std::string name, routing::route_kind kind, service_index service) {
    routing::route route;
    route.prefix = "/" + name + "/";
    route.name = std::move(name);
    route.host = soak_host;
    route.kind = kind;
    route.services.push_back({service, 1});
    route.attempts = max_attempts;
    route.timeout = route_timeout;
    return route;
}

routing::workspace make_workspace(std::string_view name) {
    routing::workspace workspace;
    workspace.name = name;
    workspace.keys = {"key-" + workspace.name};
    return workspace;
}

routing::routing_document first_configuration() {
    routing::routing_document result;
    result.version = 1;
    for (const auto* name : {"plain", "engines", "other"}) {
        result.services.push_back({name, "/healthz", server_connections, std::nullopt});
    }
    result.services[engine_service].engine = routing::engine_profile{engine_slots, engine_memory, 1};
    result.routes.push_back(make_route("plain", routing::route_kind::idempotent, plain_service));
    result.routes.push_back(make_route("once", routing::route_kind::non_idempotent, plain_service));
    result.routes.push_back(make_route("single", routing::route_kind::stream, engine_service));
    result.routes.push_back(make_route("stream", routing::route_kind::stream, engine_service));
    result.routes.back().is_resumable = true;
    result.routes.push_back(make_route("moving", routing::route_kind::idempotent, plain_service));
    result.workspaces.push_back(make_workspace(open_workspace));
    result.workspaces.push_back(make_workspace(limited_workspace));
    result.workspaces.back().rate = limited_rate;
    result.workspaces.back().burst = limited_burst;
    return result;
}

experiment::server_group make_group(std::string service, std::size_t count, bool is_engine) {
    experiment::server_group group;
    group.service = std::move(service);
    group.count = count;
    group.first_address = {asio::ip::make_address("127.0.0.1"), 0};
    group.slots = is_engine ? engine_slots : plain_slots;
    group.speeds = {1};
    group.padding = answer_padding;
    group.unread_limit = unread_limit;
    if (is_engine) {
        group.software = {"v1", "v2"};
        group.engine.emplace();
        group.engine->slots = engine_slots;
        group.engine->step_ms = 3;
        group.engine->setup_ms = 5;
        group.engine->tokens_per_event = 1;
        group.engine->memory_tokens = crashing_memory;
    }
    return group;
}

std::string gateway_settings() {
    std::ostringstream text;
    text << "retry_ratio = " << retry_ratio << "\nretry_reserve = " << retry_reserve
         << "\nretry_window = " << retry_window.count()
         << "ms\nallowance_window = " << allowance_window.count()
         << "ms\nallowance_slack = " << allowance_slack << "\nmemory_limit = " << memory_limit
         << "\nslow_caller_limit = 1s\n";
    return text.str();
}

/// The fault of an emulated server that this kind stands for; `none` for other kinds.
backend_fault fault_of(fault_kind kind) {
    switch (kind) {
    case fault_kind::server_hangs:
        return backend_fault::hang;
    case fault_kind::server_fails:
        return backend_fault::error;
    case fault_kind::server_refuses:
        return backend_fault::refuse;
    case fault_kind::server_cuts_unanswered:
        return backend_fault::cut_unanswered;
    case fault_kind::server_cuts_midway:
        return backend_fault::cut_midway;
    case fault_kind::server_garbles:
        return backend_fault::garble;
    case fault_kind::server_answers_twice:
        return backend_fault::second_answer;
    case fault_kind::server_unframed:
        return backend_fault::unframed;
    default:
        return backend_fault::none;
    }
}

/// The faults of an emulated server in some of its answers that this kind stands for; none for other kinds.
emulator::partial_faults partial_faults_of(fault_kind kind) {
    constexpr double frequent = 0.5;
    emulator::partial_faults faults;
    if (kind == fault_kind::server_repeats_refusals) {
        faults.refused = frequent;
        faults.repeated = frequent;
    } else if (kind == fault_kind::server_answers_unasked) {
        faults.nameless = frequent;
    } else if (kind == fault_kind::server_runs_unavailable) {
        faults.unavailable = frequent;
    }
    return faults;
}

server_run describe_run(const emulator::emulated_backend& server, const emulator::recorded_run& run) {
    return {server.name(), server.options().service, run.request_id, run.target, run.body, run.workspace,
            run.begun};
}

bool is_store_fault(fault_kind kind) {
    return (kind >= fault_kind::store_busy && kind <= fault_kind::store_forgets) ||
           kind == fault_kind::store_returns;
}

/// How the store is restored. An even target lets the servers write their lost rows again before the operator
/// does; an odd one lets the operator be first.
emulator::store_restore return_of(const planned_fault& fault) {
    const bool are_servers_first = fault.target % 2 == 0;
    return {age_of_copy, are_servers_first ? early_rewrite : late_rewrite,
            are_servers_first ? late_rewrite : early_rewrite};
}

bool is_server_path_fault(fault_kind kind) {
    return kind >= fault_kind::server_path_reset && kind <= fault_kind::server_path_delayed;
}

bool is_configuration_change(fault_kind kind) {
    return kind == fault_kind::configuration_grows || kind == fault_kind::configuration_moves_route;
}

/// Rows that look like servers; each is invalid in a different way. Nothing listens at their addresses.
constexpr std::array<std::string_view, 4> foreign_values{
    std::string_view("\xff\xfe\x00\x01{", 5),
    R"({"service":"plain","address":"127.0.0.1:9","zone":"a","slots":900,"state":"paused"})",
    R"({"service":"engines","address":"127.0.0.1:9","zone":"a","slots":"900","state":"ready"})",
    R"({"service":"plain","address":"127.0.0.1:9","zone":"a","slots":900,"state":"ready","born":1.5})",
};

std::string foreign_id(std::size_t number) {
    return "foreign-" + std::to_string(number);
}

} // namespace

soak_deployment::soak_deployment(deployment_size size, std::filesystem::path folder)
    : m_folder(std::move(folder)),
      m_gateways(size.gateways),
      m_port(test::find_gateway_ports(size.gateways)),
      m_moving_service("plain"),
      m_moves{{clock::now(), m_moving_service}},
      m_start_counts(size.gateways) {
    std::filesystem::create_directories(m_folder);
    m_plan.configuration = first_configuration();
    m_plan.store = {asio::ip::make_address("127.0.0.1"), 0};
    m_plan.servers = {make_group("plain", size.plain_servers, false),
                      make_group("engines", size.engines, true), make_group("other", 1, false)};
    if (size.gateways > max_gateways_with_long_keep_alive) {
        std::ranges::for_each(m_plan.servers, [](auto& group) { group.keep_alive = short_keep_alive; });
    }
    m_thread = std::jthread([this] { m_context.run(); });
    on_emulator([this] {
        m_site = std::make_unique<experiment::experiment_site>(m_context.get_executor(), m_timers, m_plan);
        m_site->set_address_mapping(
            [this](auto server, const auto& address) { return publish(server, address); });
        m_site->start();
        m_site->set_crash_rule(
            {.body_text = std::string(experiment::fatal_body_text), .part = std::string(fatal_part)},
            back_after_crash);
    });
    std::vector<experiment::gateway_place> places;
    places.reserve(size.gateways);
    for (std::size_t index = 0; index < size.gateways; ++index) {
        places.push_back({asio::ip::make_address(test::gateway_address(index)), m_port});
    }
    for (std::size_t index = 0; index < size.gateways; ++index) {
        auto& unit = m_gateways[index];
        unit.store_path =
            std::make_unique<test::fault_proxy>(m_site->store_address(), test::proxy_units::raw);
        unit.settings = m_folder / ("gateway-" + std::to_string(index) + ".ini");
        std::ofstream(unit.settings) << experiment::gateway_file_text(unit.store_path->address(), places,
                                                                      index, gateway_settings());
        start_gateway(index);
    }
}

soak_deployment::~soak_deployment() {
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        kill_gateway(index);
    }
    m_work.reset();
    m_context.stop();
}

tcp::endpoint soak_deployment::publish(std::size_t server, const tcp::endpoint& listening) {
    auto& proxy = m_server_proxies[server];
    if (proxy == nullptr) {
        proxy = std::make_unique<test::fault_proxy>(listening, test::proxy_units::raw);
    } else {
        proxy->set_target(listening);
    }
    return proxy->address();
}

tcp::endpoint soak_deployment::callers(std::size_t gateway) const {
    return {asio::ip::make_address(test::gateway_address(gateway)), m_port};
}

tcp::endpoint soak_deployment::readiness(std::size_t gateway) const {
    return {asio::ip::make_address(test::gateway_address(gateway)), static_cast<std::uint16_t>(m_port + 1)};
}

unsigned soak_deployment::start_count(std::size_t gateway) const {
    const std::scoped_lock lock(m_start_counts_mutex);
    return m_start_counts.at(gateway);
}

// Gateways: processes and their faults.

void soak_deployment::start_gateway(std::size_t index) {
    auto& unit = m_gateways.at(index);
    unsigned start_count = 0;
    {
        const std::scoped_lock lock(m_start_counts_mutex);
        start_count = ++m_start_counts.at(index);
    }
    if (start_count > 1) {
        experiment::note_earlier_start(unit.settings);
    }
    const auto log =
        m_folder / ("gateway-" + std::to_string(index) + "-" + std::to_string(start_count) + "-errors.log");
    const std::filesystem::path program = std::string(BORAGEFORD_PROGRAM_FOLDER) + "/borageford";
    unit.process = std::make_unique<test::child_process>(
        program, std::vector<std::string>{"gateway", "--settings=" + unit.settings.string()}, log);
    unit.has_started = false;
    unit.is_frozen = false;
    unit.is_stopping = false;
}

void soak_deployment::keep_log(std::size_t index) {
    auto& unit = m_gateways.at(index);
    if (unit.process == nullptr) {
        return;
    }
    const auto name = "gateway-" + std::to_string(index) + "-" + std::to_string(start_count(index)) + ".log";
    const auto text = unit.process->take_output();
    unit.has_started = unit.has_started || text.find(started_event) != std::string::npos;
    std::ofstream(m_folder / name, std::ios::app) << text;
}

void soak_deployment::kill_gateway(std::size_t index) {
    auto& unit = m_gateways.at(index);
    if (unit.process != nullptr) {
        unit.process->kill();
        keep_log(index);
        unit.process.reset();
        unit.has_started = false;
    }
    if (std::exchange(unit.is_stopping, false)) {
        m_disturbances.end(unit.stopping_disturbance, clock::now());
    }
}

void soak_deployment::supervise_gateways() {
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        auto& unit = m_gateways[index];
        if (unit.process == nullptr) {
            continue;
        }
        keep_log(index);
        if (unit.process->is_running()) {
            continue;
        }
        const auto code = unit.process->wait_for_exit();
        if (!unit.is_stopping || code != 0) {
            const auto name = "gateway-" + std::to_string(index) + "-" + std::to_string(start_count(index));
            m_unexpected_exits.push_back("gateway " + std::to_string(index) + " ended by itself with code " +
                                         std::to_string(code) + "; its last words are in " + name +
                                         "-errors.log");
        }
        keep_log(index);
        if (unit.is_stopping) {
            m_disturbances.end(unit.stopping_disturbance, clock::now());
        }
        start_gateway(index);
    }
}

void soak_deployment::record_disturbance(const planned_fault& fault, disturbance_kind kind,
                                         std::optional<std::size_t> gateway) {
    m_open_disturbances[&fault] = m_disturbances.begin(kind, gateway, clock::now());
}

void soak_deployment::begin_gateway_fault(const planned_fault& fault) {
    const auto index = fault.target % m_gateways.size();
    auto& unit = m_gateways[index];
    switch (fault.kind) {
    case fault_kind::gateway_killed:
        record_disturbance(fault, disturbance_kind::gateway_down, index);
        kill_gateway(index);
        break;
    case fault_kind::all_gateways_killed:
        record_disturbance(fault, disturbance_kind::gateway_down, std::nullopt);
        m_all_gateways_lost.push_back(clock::now());
        for (std::size_t each = 0; each < m_gateways.size(); ++each) {
            kill_gateway(each);
        }
        break;
    case fault_kind::gateway_frozen:
        record_disturbance(fault, disturbance_kind::gateway_down, index);
        if (unit.process != nullptr) {
            unit.process->freeze();
            unit.is_frozen = true;
        }
        break;
    case fault_kind::gateway_stopped:
        if (unit.has_started && !unit.is_stopping) {
            unit.is_stopping = true;
            unit.stopping_disturbance =
                m_disturbances.begin(disturbance_kind::gateway_stopping, index, clock::now());
            unit.process->terminate();
        }
        break;
    default: // gateway_reloaded
        if (unit.has_started) {
            unit.process->reload();
        }
        break;
    }
}

// The store and the configuration in it.

void soak_deployment::begin_store_fault(const planned_fault& fault) {
    record_disturbance(fault, disturbance_kind::store, std::nullopt);
    on_emulator([&] {
        auto& store = m_site->store();
        switch (fault.kind) {
        case fault_kind::store_busy:
            store.set_state(store_state::busy);
            break;
        case fault_kind::store_over_rate:
            store.set_state(store_state::rate_limited);
            break;
        case fault_kind::store_resetting:
        case fault_kind::store_returns:
            store.set_state(store_state::reset);
            break;
        case fault_kind::store_silent:
            store.set_state(store_state::silent);
            break;
        case fault_kind::store_slow:
            store.set_delay(slow_store_answer);
            break;
        default:
            store.rows().forget_history();
            break;
        }
    });
}

void soak_deployment::change_configuration(fault_kind kind) {
    on_emulator([&] {
        auto& document = m_plan.configuration;
        if (kind == fault_kind::configuration_grows) {
            document.routes.push_back(make_route("added-" + std::to_string(m_added_routes++),
                                                 routing::route_kind::idempotent, plain_service));
        } else {
            const bool is_plain = m_moving_service == "plain";
            m_moving_service = is_plain ? "other" : "plain";
            const auto moving = std::ranges::find(document.routes, "moving", &routing::route::name);
            moving->services.front().service = is_plain ? other_service : plain_service;
        }
        ++document.version;
        store::transaction change;
        change.puts.push_back(
            {std::string(platform::configuration_key), platform::encode_configuration(document)});
        static_cast<void>(m_site->store().rows().transact(change));
        m_moves.push_back({clock::now(), m_moving_service});
    });
}

// Backend servers and the connections to them.

void soak_deployment::begin_server_fault(const planned_fault& fault) {
    on_emulator([&] {
        const auto server = fault.target % m_server_proxies.size();
        if (fault.kind == fault_kind::server_crashed) {
            m_site->crash(server);
        } else if (fault.kind == fault_kind::server_limits_rate) {
            m_site->set_rate_limit(server, fault.per_second);
        } else if (fault.kind == fault_kind::server_slow) {
            m_site->set_slowness(server, slow_factor);
        } else if (fault.kind == fault_kind::server_drains) {
            const auto name = m_site->server_name(server);
            m_site->drain(server);
            if (!name.empty()) {
                m_draining_servers.push_back({name, clock::now()});
            }
        } else {
            m_site->set_fault(server, fault_of(fault.kind));
            m_site->set_partial_faults(server, partial_faults_of(fault.kind));
            m_site->set_pause(server,
                              fault.kind == fault_kind::server_refuses ? refusal_pause : milliseconds(0));
        }
    });
}

void soak_deployment::end_server_fault(const planned_fault& fault) {
    on_emulator([&] {
        const auto server = fault.target % m_server_proxies.size();
        if (fault.kind == fault_kind::server_limits_rate) {
            m_site->set_rate_limit(server, std::nullopt);
            return;
        }
        if (fault.kind == fault_kind::server_drains) {
            m_site->crash(server);
        }
        m_site->restart(server);
        m_site->set_fault(server, backend_fault::none);
        m_site->set_partial_faults(server, {});
        m_site->set_pause(server, milliseconds(0));
        m_site->set_slowness(server, 1);
    });
}

/// Drops the answers on all open connections before the restart. These connections hang, so gateways can
/// learn of the new start from the server's registration only.
void soak_deployment::restart_in_place(const planned_fault& fault) {
    record_disturbance(fault, disturbance_kind::server_path, std::nullopt);
    const auto server = fault.target % m_server_proxies.size();
    m_server_proxies.at(server)->drop(test::direction::down);
    on_emulator([&] { m_site->restart_in_place(server); });
}

/// Writes invalid rows into the table of servers. One of them replaces a server's own row until the server
/// writes its row again.
void soak_deployment::write_foreign_entries(const planned_fault& fault) {
    on_emulator([&] {
        for (std::size_t number = 0; number < foreign_values.size(); ++number) {
            m_site->write_row(foreign_id(number), std::string(foreign_values.at(number)));
        }
        m_site->overwrite_row(fault.target % m_server_proxies.size(),
                              std::string(foreign_values.at(fault.target % foreign_values.size())));
    });
}

void soak_deployment::end_foreign_entries(const planned_fault& fault) {
    on_emulator([&] {
        for (std::size_t number = 0; number < foreign_values.size(); ++number) {
            m_site->remove_row(foreign_id(number));
        }
        m_site->renew_registration(fault.target % m_server_proxies.size());
    });
}

void soak_deployment::begin_server_path_fault(const planned_fault& fault) {
    record_disturbance(fault, disturbance_kind::server_path, std::nullopt);
    auto& proxy = *m_server_proxies.at(fault.target % m_server_proxies.size());
    switch (fault.kind) {
    case fault_kind::server_path_reset:
        proxy.cut(test::cut_kind::reset);
        break;
    case fault_kind::server_path_silenced:
        proxy.drop(test::direction::down);
        break;
    case fault_kind::server_path_held:
        proxy.hold(test::direction::up);
        break;
    default:
        proxy.set_delay(path_delay);
        break;
    }
}

// The functions that the schedule calls.

void soak_deployment::begin(const planned_fault& fault) {
    if (fault.kind <= fault_kind::all_gateways_killed) {
        begin_gateway_fault(fault);
    } else if (is_store_fault(fault.kind)) {
        begin_store_fault(fault);
    } else if (is_server_path_fault(fault.kind)) {
        begin_server_path_fault(fault);
    } else if (is_configuration_change(fault.kind)) {
        change_configuration(fault.kind);
    } else if (fault.kind == fault_kind::server_restarts_in_place) {
        restart_in_place(fault);
    } else if (fault.kind == fault_kind::foreign_entries) {
        write_foreign_entries(fault);
    } else if (fault.kind == fault_kind::store_path_cut || fault.kind == fault_kind::store_path_silenced) {
        const auto index = fault.target % m_gateways.size();
        record_disturbance(fault, disturbance_kind::store, index);
        auto& path = *m_gateways[index].store_path;
        if (fault.kind == fault_kind::store_path_cut) {
            path.set_refusing(true);
            path.cut(test::cut_kind::reset);
        } else {
            path.drop(test::direction::down);
        }
    } else {
        begin_server_fault(fault);
    }
}

void soak_deployment::end(const planned_fault& fault) {
    if (fault.kind == fault_kind::gateway_frozen) {
        auto& unit = m_gateways[fault.target % m_gateways.size()];
        if (unit.process != nullptr && unit.is_frozen) {
            unit.process->thaw();
        }
        unit.is_frozen = false;
    } else if (fault.kind <= fault_kind::all_gateways_killed) {
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            if (m_gateways[index].process == nullptr) {
                start_gateway(index);
            }
        }
    } else if (is_store_fault(fault.kind)) {
        on_emulator([&] {
            if (fault.kind == fault_kind::store_returns) {
                m_site->store().restore_from_copy(return_of(fault));
            }
            m_site->store().set_state(store_state::available);
            m_site->store().set_delay(milliseconds(0));
        });
    } else if (is_server_path_fault(fault.kind)) {
        auto& proxy = *m_server_proxies.at(fault.target % m_server_proxies.size());
        proxy.set_delay(milliseconds(0));
        proxy.release();
    } else if (fault.kind == fault_kind::store_path_cut) {
        m_gateways[fault.target % m_gateways.size()].store_path->set_refusing(false);
    } else if (fault.kind == fault_kind::foreign_entries) {
        end_foreign_entries(fault);
    } else if (!is_configuration_change(fault.kind) && fault.kind != fault_kind::store_path_silenced &&
               fault.kind != fault_kind::server_restarts_in_place) {
        end_server_fault(fault);
    }
    if (const auto open = m_open_disturbances.find(&fault); open != m_open_disturbances.end()) {
        m_disturbances.end(open->second, clock::now());
        m_open_disturbances.erase(open);
    }
}

void soak_deployment::restore() {
    for (auto& unit : m_gateways) {
        unit.store_path->set_refusing(false);
        unit.store_path->release();
        if (unit.process != nullptr && unit.is_frozen) {
            unit.process->thaw();
            unit.is_frozen = false;
        }
    }
    for (auto& [server, proxy] : m_server_proxies) {
        proxy->set_delay(milliseconds(0));
        proxy->release();
    }
    on_emulator([this] {
        m_site->store().set_state(store_state::available);
        m_site->store().set_delay(milliseconds(0));
        for (std::size_t server = 0; server < m_site->server_count(); ++server) {
            m_site->restart(server);
            m_site->set_fault(server, backend_fault::none);
            m_site->set_partial_faults(server, {});
            m_site->set_slowness(server, 1);
            m_site->set_rate_limit(server, std::nullopt);
        }
    });
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        if (m_gateways[index].process == nullptr) {
            start_gateway(index);
        }
    }
}

std::vector<server_run> soak_deployment::collect_runs() const {
    std::vector<server_run> result;
    m_site->visit_servers([&result](const emulator::emulated_backend& server) {
        for (const auto& run : server.runs()) {
            result.push_back(describe_run(server, run));
        }
    });
    return result;
}

std::vector<limited_server> soak_deployment::collect_limited_servers() const {
    std::vector<limited_server> result;
    m_site->visit_servers([&result](const emulator::emulated_backend& server) {
        if (!server.named_limits().empty()) {
            result.push_back({server.name(), server.arrival_times(), server.named_limits()});
        }
    });
    return result;
}

std::map<std::string, std::vector<emulator::recorded_arrival>> soak_deployment::collect_arrivals() const {
    std::map<std::string, std::vector<emulator::recorded_arrival>> result;
    m_site->visit_servers([&result](const emulator::emulated_backend& server) {
        std::ranges::copy(server.arrived_requests(), std::back_inserter(result[server.options().service]));
    });
    return result;
}

std::vector<stating_server> soak_deployment::collect_stating_servers() const {
    std::vector<stating_server> result;
    m_site->visit_servers([&result](const emulator::emulated_backend& server) {
        if (!server.statements().empty()) {
            result.push_back({server.name(), server.arrived_requests(), server.statements()});
        }
    });
    return result;
}

std::vector<held_delivery> soak_deployment::collect_held_deliveries() const {
    std::vector<held_delivery> result;
    for (const auto& [server, proxy] : m_server_proxies) {
        const auto server_id = server_id_of(m_site->server_name(server));
        for (auto& unit : proxy->held_units()) {
            if (unit.way == test::direction::up) {
                result.push_back({server_id, std::move(unit)});
            }
        }
    }
    return result;
}

std::optional<server_run> soak_deployment::find_run(const std::string& server, std::size_t number) const {
    std::optional<server_run> result;
    m_site->visit_servers([&](const emulator::emulated_backend& each) {
        if (each.name() == server && number < each.runs().size()) {
            result = describe_run(each, each.runs()[number]);
        }
    });
    return result;
}

} // namespace borageford::soak
