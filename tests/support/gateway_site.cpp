// Starts and stops the gateways and emulated backend servers of a gateway_site, and writes rows into its
// store.
#include "support/gateway_site.hpp"

#include "base/identifier.hpp"
#include "experiment/gateway_files.hpp"
#include "platform/backend_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/header_field_names.hpp"
#include "platform/rollout_codec.hpp"
#include "support/free_ports.hpp"
#include "support/wait_until.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

namespace borageford::test {

namespace asio = boost::asio;

namespace {

constexpr std::string_view host = "site.example";
constexpr unsigned status_ok = 200;

routing::routing_document configuration_with(routing::route route, const std::string& service) {
    routing::routing_document result;
    result.version = 1;
    result.services.push_back({service, "/healthz", 96, std::nullopt});
    route.name = "r-" + service;
    route.host = host;
    route.services.push_back({0, 1});
    result.routes.push_back(std::move(route));
    return result;
}

} // namespace

routing::routing_document plain_configuration(routing::route_kind kind) {
    routing::route route;
    route.prefix = "/plain/";
    route.kind = kind;
    route.attempts = 3;
    route.timeout = routing::milliseconds(5000);
    return configuration_with(route, "plain");
}

routing::routing_document stream_configuration(bool is_resumable) {
    routing::route route;
    route.prefix = "/stream/";
    route.kind = routing::route_kind::stream;
    route.is_resumable = is_resumable;
    route.attempts = 3;
    route.timeout = routing::milliseconds(10000);
    return configuration_with(route, "engines");
}

emulator::backend_options plain_backend(const std::string& id) {
    emulator::backend_options options;
    options.id = id;
    options.service = "plain";
    return options;
}

emulator::backend_options engine_backend(const std::string& id) {
    auto options = plain_backend(id);
    options.service = "engines";
    options.engine.emplace();
    options.engine->setup_ms = 5;
    return options;
}

http::request make_call(const std::string& target, const std::string& id, std::string body) {
    const auto names = platform::header_field_names();
    return {"POST",
            target,
            {{"Host", std::string(host)}, {names.request_id, id}, {names.deadline, "5000"}},
            std::move(body)};
}

site_options plain_site(std::size_t servers, std::size_t gateways) {
    site_options options;
    options.gateways = gateways;
    options.configuration = plain_configuration(routing::route_kind::idempotent);
    for (std::size_t index = 0; index < servers; ++index) {
        options.backends.push_back(plain_backend("server-" + std::to_string(index)));
    }
    return options;
}

routing::routing_document with_key(routing::routing_document document, std::uint64_t version,
                                   const std::string& key) {
    document.version = version;
    document.workspaces.clear();
    document.workspaces.push_back({"archive", {key}, std::nullopt});
    return document;
}

http::request keyed_call(const std::string& id, const std::string& key) {
    auto call = make_call("/plain/x", id);
    call.headers.push_back({"Authorization", "Bearer " + key});
    return call;
}

gateway_site::gateway_site(site_options options)
    : m_options(std::move(options)),
      m_folder(std::filesystem::temp_directory_path() / ("site-" + identifier::random().to_string())),
      m_gateways(m_options.gateways),
      m_port(find_gateway_ports(m_options.gateways)) {
    std::filesystem::create_directories(m_folder);
    m_thread = std::jthread([this] { m_context.run(); });
    on_emulator([this] {
        m_store = std::make_unique<emulator::emulated_store>(m_context.get_executor(), m_timers);
        m_store_address = m_store->listen({asio::ip::make_address("127.0.0.1"), 0});
    });
    if (m_options.is_configured) {
        configure(m_options.configuration);
    }
    for (std::size_t index = 0; index < m_options.backends.size(); ++index) {
        start_backend(index, m_options.backends[index]);
    }
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        write_settings(index, m_options.gateway_settings);
        start_gateway(index);
    }
    if (m_options.is_configured && !m_options.backends.empty()) {
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            wait_until_ready(index);
        }
    }
}

gateway_site::~gateway_site() {
    if (std::uncaught_exceptions() > 0 || std::getenv("SHOW_GATEWAY_LOGS") != nullptr) {
        show_logs();
    }
    m_gateways.clear();
    m_work.reset();
    m_context.stop();
    m_thread.join();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void gateway_site::show_logs() const {
    for (const auto& unit : m_gateways) {
        if (unit.process != nullptr) {
            const auto text = unit.process->log_text() + unit.process->output_text();
            constexpr std::size_t shown = 4000;
            std::cerr << "--- gateway " << unit.address << "\n"
                      << (text.size() > shown ? text.substr(text.size() - shown) : text) << '\n';
        }
    }
}

http::endpoint gateway_site::callers(std::size_t gateway) const {
    return {asio::ip::make_address(gateway_address(gateway)), m_port};
}

http::endpoint gateway_site::readiness(std::size_t gateway) const {
    return {asio::ip::make_address(gateway_address(gateway)), static_cast<std::uint16_t>(m_port + 1)};
}

http::endpoint gateway_site::peers(std::size_t gateway) const {
    return {asio::ip::make_address(gateway_address(gateway)), static_cast<std::uint16_t>(m_port + 2)};
}

http::endpoint gateway_site::metrics(std::size_t gateway) const {
    return {asio::ip::make_address(gateway_address(gateway)), static_cast<std::uint16_t>(m_port + 3)};
}

std::string gateway_site::settings_text(std::size_t index, const std::string& further) const {
    std::vector<experiment::gateway_place> places;
    places.reserve(m_gateways.size());
    for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
        places.push_back({asio::ip::make_address(gateway_address(gateway)), m_port});
    }
    std::ostringstream settings;
    settings << "retry_reserve = " << m_options.retry_reserve << '\n' << further;
    return experiment::gateway_file_text(m_store_address, places, index, settings.str(),
                                         m_options.store_timeout);
}

void gateway_site::write_settings(std::size_t index, const std::string& further) {
    auto& unit = m_gateways.at(index);
    unit.settings = m_folder / ("gateway-" + std::to_string(index) + ".ini");
    std::ofstream(unit.settings) << settings_text(index, further);
}

void gateway_site::start_gateway(std::size_t index) {
    auto& unit = m_gateways.at(index);
    unit.address = gateway_address(index);
    if (unit.starts > 0) {
        experiment::note_earlier_start(unit.settings);
    }
    const auto log =
        m_folder / ("gateway-" + std::to_string(index) + "-" + std::to_string(++unit.starts) + ".log");
    const std::filesystem::path program = std::string(BORAGEFORD_PROGRAM_FOLDER) + "/borageford";
    unit.process = std::make_unique<child_process>(
        program, std::vector<std::string>{"gateway", "--settings=" + unit.settings.string()}, log);
    unit.process->wait_for_line(R"({"event":"started")");
}

bool gateway_site::is_ready(std::size_t gateway) const {
    http::request request{"GET", "/borageford/readyz", {}, ""};
    return call(readiness(gateway), request).status == status_ok;
}

void gateway_site::wait_until_ready(std::size_t gateway) const {
    wait_until("gateway " + std::to_string(gateway) + " is ready", [&] { return is_ready(gateway); });
}

void gateway_site::configure(const routing::routing_document& document) {
    store::transaction change;
    change.puts.push_back(
        {std::string(platform::configuration_key), platform::encode_configuration(document)});
    on_emulator([&] { static_cast<void>(m_store->rows().transact(change)); });
}

void gateway_site::order_rollout(const routing::rollout_order& order) {
    store::transaction change;
    change.puts.push_back(
        {std::string(platform::rollout_prefix) + order.service, platform::encode_rollout(order)});
    on_emulator([&] { static_cast<void>(m_store->rows().transact(change)); });
}

void gateway_site::withdraw_rollout(const std::string& service) {
    store::transaction change;
    change.deletes.push_back(std::string(platform::rollout_prefix) + service);
    on_emulator([&] { static_cast<void>(m_store->rows().transact(change)); });
}

void gateway_site::start_backend(std::size_t index, const emulator::backend_options& options) {
    on_emulator([&] { listen_backend(index, options, {asio::ip::make_address("127.0.0.1"), 0}); });
    register_backend(index, "ready");
}

void gateway_site::listen_backend(std::size_t index, const emulator::backend_options& options,
                                  const http::endpoint& address) {
    auto server = std::make_unique<emulator::emulated_backend>(m_context.get_executor(), m_timers,
                                                               platform::header_field_names(), options);
    const auto listening = server->listen(address);
    if (const auto previous = m_backends.find(index); previous != m_backends.end()) {
        m_previous_backends.push_back(std::move(previous->second.server));
    }
    m_backends[index] = {std::move(server), listening, options.version};
    apply_crash_terms(index);
}

void gateway_site::crash_by_requests(const crash_terms& terms) {
    on_emulator([&] {
        m_crash_terms = terms;
        for (const auto& [index, unit] : m_backends) {
            apply_crash_terms(index);
        }
    });
}

void gateway_site::apply_crash_terms(std::size_t index) {
    if (m_crash_terms.has_value()) {
        m_backends.at(index).server->set_crash_rule(m_crash_terms->rule,
                                                    [this, index] { handle_crash(index); });
    }
}

void gateway_site::handle_crash(std::size_t index) {
    const auto& unit = m_backends.at(index);
    auto options = unit.server->options();
    const auto former = options.id;
    options.id += "'";
    const auto address = unit.address;
    after(m_crash_terms->registration_life, [this, former] { remove_registration(former); });
    after(m_crash_terms->back_after, [this, index, options, address] {
        listen_backend(index, options, address);
        write_registration(index, "ready");
    });
}

std::size_t gateway_site::count_crashes() {
    return on_emulator([&] {
        std::size_t result = 0;
        const auto count = [&result](const emulator::emulated_backend& server) {
            result += server.fatal_by_body().crashes.size() + server.fatal_by_part().crashes.size() +
                      (server.has_run_out_of_memory() ? 1 : 0);
        };
        for (const auto& server : m_previous_backends) {
            count(*server);
        }
        for (const auto& [index, unit] : m_backends) {
            count(*unit.server);
        }
        return result;
    });
}

void gateway_site::after(std::chrono::milliseconds delay, std::function<void()> call) {
    m_scheduled_calls.push_back(m_timers.after(m_context.get_executor(), delay, std::move(call)));
}

void gateway_site::register_backend(std::size_t index, const std::string& state) {
    on_emulator([&] { write_registration(index, state); });
}

void gateway_site::write_registration(std::size_t index, const std::string& state) {
    const auto& unit = m_backends.at(index);
    routing::backend_record record;
    record.id = unit.server->options().id;
    record.start = unit.server->options().start;
    record.service = unit.server->options().service;
    record.version = unit.software;
    record.address = unit.address;
    record.failure_domain = "a";
    record.slots = unit.server->options().slots;
    record.state = state == "ready" ? routing::backend_state::ready : routing::backend_state::draining;
    write_record(record);
}

void gateway_site::write_record(const routing::backend_record& record) {
    store::transaction change;
    change.puts.push_back(
        {std::string(platform::backend_table) + "/" + record.id, platform::encode_backend(record)});
    static_cast<void>(m_store->rows().transact(change));
}

void gateway_site::register_address(const std::string& id, const std::string& service,
                                    const http::endpoint& address, unsigned slots) {
    routing::backend_record record;
    record.id = id;
    record.service = service;
    record.address = address;
    record.failure_domain = "a";
    record.slots = slots;
    record.state = routing::backend_state::ready;
    on_emulator([&] { write_record(record); });
}

void gateway_site::register_software(std::size_t index, const std::string& software) {
    on_emulator([&] { m_backends.at(index).software = software; });
    register_backend(index, "ready");
}

void gateway_site::unregister_backend(std::size_t index) {
    on_emulator([&] { remove_registration(m_backends.at(index).server->options().id); });
}

void gateway_site::remove_registration(const std::string& id) {
    store::transaction change;
    change.deletes.push_back(std::string(platform::backend_table) + "/" + id);
    static_cast<void>(m_store->rows().transact(change));
}

void gateway_site::stop_backend(std::size_t index) {
    on_emulator([&] { m_backends.at(index).server->stop(); });
}

std::size_t gateway_site::runs_of(const std::string& request_id, std::size_t index) {
    return on_emulator([&] {
        const auto& runs = m_backends.at(index).server->runs();
        return static_cast<std::size_t>(
            std::ranges::count(runs, request_id, &emulator::recorded_run::request_id));
    });
}

std::size_t gateway_site::runs_of(const std::string& request_id) {
    std::size_t total = 0;
    for (const auto& [index, unit] : m_backends) {
        total += runs_of(request_id, index);
    }
    return total + on_emulator([&] {
               std::size_t previous = 0;
               for (const auto& server : m_previous_backends) {
                   previous += static_cast<std::size_t>(
                       std::ranges::count(server->runs(), request_id, &emulator::recorded_run::request_id));
               }
               return previous;
           });
}

std::size_t gateway_site::arrivals_at(std::size_t server) {
    return on_emulator([&] { return static_cast<std::size_t>(backend(server).arrivals()); });
}

bool gateway_site::has_logged(std::size_t gateway, const std::string& text) {
    return process(gateway).output_text().find(text) != std::string::npos;
}

caller_result gateway_site::send(std::size_t gateway, const http::request& request) const {
    return call(callers(gateway), request);
}

void send_until_arrival(gateway_site& site, std::size_t gateway, std::size_t server,
                        const std::string& name) {
    const auto before = site.arrivals_at(server);
    int number = 0;
    wait_until("a call reaches the server", [&] {
        static_cast<void>(site.send(gateway, make_call("/plain/x", name + std::to_string(++number))));
        return site.arrivals_at(server) > before;
    });
}

int count_served(const gateway_site& site, std::size_t gateway, int calls, const std::string& name) {
    int served = 0;
    for (int number = 0; number < calls; ++number) {
        const auto id = name + std::to_string(number);
        served += site.send(gateway, make_call("/plain/x", id)).status == status_ok ? 1 : 0;
    }
    return served;
}

std::size_t wait_for_coordinator(gateway_site& site, const std::vector<std::size_t>& gateways) {
    std::size_t coordinator = 0;
    wait_until("all gateways use one coordinator", [&] {
        std::size_t asking = 0;
        std::size_t coordinating = 0;
        for (const auto gateway : gateways) {
            const auto text = site.process(gateway).output_text();
            const auto last = text.rfind(R"("event":"slot_source_changed")");
            const auto line =
                last == std::string::npos ? "" : text.substr(last, text.find('\n', last) - last);
            asking += line.find(R"("to":"coordinator")") != std::string::npos ? 1 : 0;
            if (line.find(R"("to":"own_coordination")") != std::string::npos) {
                ++coordinating;
                coordinator = gateway;
            }
        }
        return coordinating == 1 && asking == gateways.size() - 1;
    });
    return coordinator;
}

} // namespace borageford::test
