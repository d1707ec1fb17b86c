// Starts the processes of a cluster, writes their settings and configuration, and reads their counters.
#include "support/cluster.hpp"

#include "base/sha256.hpp"
#include "configuration/revision_rows.hpp"
#include "support/answer_text.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace borageford::test {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

/// The folder in which the build puts borageford and the fake servers.
const fs::path program_folder = BORAGEFORD_PROGRAM_FOLDER;
constexpr std::string_view any_port = "127.0.0.1:0";

constexpr std::string_view tiers_and_workspaces = R"(
[tier urgent]
rank = 0
[tier standard]
rank = 1
[tier batch]
rank = 2
[tier idle]
rank = 3
[model pluma]
version = 1
[service kudos]
)";

std::string workspace_section(const std::string& name, const std::string& tier) {
    return "[workspace " + name + "]\nkey_sha256 = " + sha256_hex(name + "-key") + "\ntier = " + tier + "\n";
}

constexpr std::string_view routes = R"(
[route completions]
workspace = *
model = *
[route kudos]
workspace = *
service = kudos
idempotent = no
)";

/// Parses the line "ready NAME=IP:PORT ..." that borageford prints once it listens; maps names to addresses.
std::map<std::string, http::endpoint> read_ready_line(const std::string& line) {
    std::map<std::string, http::endpoint> addresses;
    std::istringstream words(line);
    std::string word;
    words >> word;
    while (words >> word) {
        const auto equals = word.find('=');
        addresses.emplace(word.substr(0, equals), http::parse_endpoint(word.substr(equals + 1)));
    }
    return addresses;
}

http::endpoint read_listening_line(const std::string& line) {
    return http::parse_endpoint(line.substr(line.find(' ') + 1));
}

fs::path make_folder() {
    auto pattern = (fs::temp_directory_path() / "borageford-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary folder");
    }
    return pattern;
}

std::uint64_t number_at(const json::value& from, const std::string& name) {
    const auto* found = from.as_object().if_contains(name);
    return found == nullptr ? 0 : found->to_number<std::uint64_t>();
}

} // namespace

cluster::cluster(cluster_options options) : m_options(std::move(options)), m_folder(make_folder()) {
    auto arguments = m_options.platform_arguments;
    arguments.insert(arguments.begin(), {"--listen", std::string(any_port)});
    m_platform = std::make_unique<child_process>(program_folder / "fake_platform", arguments,
                                                 m_folder / "platform.log");
    m_platform_address = read_listening_line(m_platform->wait_for_line("listening"));
    commit(m_options.intent);
    for (const auto& backend : m_options.backend_servers) {
        m_backends.emplace_back();
        m_backends.back().options = backend;
    }
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        start_server(index);
        start_sidecar(index);
    }
    m_entries.resize(m_options.entries);
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        m_entries[index].vm = "entry-" + std::to_string(index);
        start_entry(index);
    }
    publish_vms();
    try {
        for (std::size_t index = 0; index < m_entries.size(); ++index) {
            wait_for_entry(index);
        }
    } catch (const std::exception&) {
        show_logs(); // because the destructor doesn't run after an exception in the constructor
        throw;
    }
}

cluster::~cluster() {
    if (std::uncaught_exceptions() > 0) {
        show_logs();
    }
    m_entries.clear();
    m_backends.clear();
    m_platform.reset();
    std::error_code ignored;
    fs::remove_all(m_folder, ignored);
}

void cluster::start_server(std::size_t index) {
    auto& unit = m_backends.at(index);
    auto arguments = unit.options.arguments;
    arguments.insert(arguments.begin(), {"--listen", std::string(any_port)});
    if (!unit.options.is_service) {
        arguments.insert(arguments.begin(), {"--models", "pluma"});
    }
    if (unit.options.checks_fencing) {
        arguments.emplace_back("--checks-fencing");
    }
    const auto* program = unit.options.is_service ? "fake_service" : "fake_engine";
    unit.server = std::make_unique<child_process>(program_folder / program, arguments,
                                                  m_folder / (unit.options.name + "-server.log"));
    unit.server_address = read_listening_line(unit.server->wait_for_line("listening"));
    if (unit.server_link == nullptr) {
        unit.server_link = std::make_unique<fault_proxy>(unit.server_address, proxy_units::raw);
    } else {
        unit.server_link->set_target(unit.server_address);
    }
}

void cluster::start_sidecar(std::size_t index) {
    auto& unit = m_backends.at(index);
    const auto& name = unit.options.name;
    const auto settings = write_file(
        name + ".ini", common_settings("vm-" + name, unit.options.failure_domain, m_options.sidecar_silence) +
                           "[sidecar]\nbackend_server = " + name +
                           "\nbackend_address = " + http::to_string(unit.server_link->address()) +
                           "\npeers_listen = 127.0.0.1:0\nstatus_listen = 127.0.0.1:0\n" +
                           m_options.sidecar_settings);
    unit.sidecar = std::make_unique<child_process>(
        program_folder / "borageford", std::vector<std::string>{"sidecar", "--settings", settings.string()},
        m_folder / (name + "-sidecar.log"));
    const auto addresses = read_ready_line(unit.sidecar->wait_for_line("ready"));
    unit.status_address = addresses.at("status");
    unit.peers_address = addresses.at("peers");
    if (unit.link == nullptr) {
        unit.link = std::make_unique<fault_proxy>(addresses.at("peers"), proxy_units::frames);
    } else {
        unit.link->set_target(addresses.at("peers"));
    }
}

void cluster::start_entry(std::size_t index) {
    auto& unit = m_entries.at(index);
    const auto settings =
        write_file(unit.vm + ".ini",
                   common_settings(unit.vm, "sala-a", m_options.entry_silence) +
                       "[entry]\ncallers_listen = 127.0.0.1:0\npeers_listen = 127.0.0.1:0\nadmin_listen = "
                       "127.0.0.1:0\nadmin_token_sha256 = " +
                       sha256_hex("operator-token") + "\n" + m_options.entry_settings);
    unit.process = std::make_unique<child_process>(
        program_folder / "borageford", std::vector<std::string>{"entry", "--settings", settings.string()},
        m_folder / (unit.vm + ".log"));
    const auto addresses = read_ready_line(unit.process->wait_for_line("ready"));
    unit.callers = addresses.at("callers");
    unit.admin = addresses.at("admin");
    unit.peers = addresses.at("peers");
}

std::string cluster::common_settings(const std::string& vm, const std::string& domain,
                                     const std::string& silence) const {
    return "[process]\nvm = " + vm + "\nfailure_domain = " + domain +
           "\nregion = occidente\nthreads = 2\nheartbeat_period = 200ms\nsilence_limit = " + silence + "\n" +
           m_options.process_settings + "[platform]\naddress = " + http::to_string(m_platform_address) +
           "\npoll_period = " + m_options.poll_period + "\ntimeout = 1s\n";
}

std::string cluster::intent(const std::string& further, const std::string& drained) const {
    std::string text(tiers_and_workspaces);
    text += workspace_section("haian", "urgent") + workspace_section("tinta", "urgent");
    for (const auto& backend : m_options.backend_servers) {
        text += "[backend_server " + backend.name + "]\nfailure_domain = " + backend.failure_domain +
                "\nslots = " + backend.slots + "\n";
        text += backend.is_service ? "kind = service\nservices = kudos\n" : "kind = engine\nmodels = pluma\n";
        text += backend.checks_fencing ? "checks_fencing = yes\n" : "";
        text += backend.name == drained ? "drained = yes\n" : "";
    }
    return text + std::string(routes) + further;
}

void cluster::commit(const std::string& further, const std::string& drained) {
    ++m_revision;
    const configuration::revision_row row{m_revision, "test", "test", "2026-01-01T00:00:00Z",
                                          intent(further, drained)};
    json::array puts;
    puts.emplace_back(json::object{{"key", configuration::revision_key(m_revision)},
                                   {"value", configuration::encode(row)}});
    puts.emplace_back(
        json::object{{"key", std::string(configuration::head_key)},
                     {"value", configuration::encode(configuration::head_row{m_revision, "test", "test"})}});
    post_text(m_platform_address, "/table/transact", json::serialize(json::object{{"puts", puts}}));
}

void cluster::control_platform(const std::string& text) const {
    post_text(m_platform_address, "/control", text);
}

void cluster::control_server(std::size_t index, const std::string& text) const {
    post_text(m_backends.at(index).server_address, "/control", text);
}

void cluster::publish_vms(const std::string& vm, const std::string& state) {
    json::array machines;
    const auto add = [&](const std::string& name, const http::endpoint& address, const std::string& role,
                         const std::string& domain, const std::string& server) {
        machines.emplace_back(json::object{{"name", name},
                                           {"address", http::to_string(address)},
                                           {"role", role},
                                           {"failure_domain", domain},
                                           {"region", "occidente"},
                                           {"backend_server", server},
                                           {"state", name == vm ? state : "live"}});
    };
    for (const auto& unit : m_backends) {
        add("vm-" + unit.options.name, unit.link->address(), "sidecar", unit.options.failure_domain,
            unit.options.name);
    }
    for (const auto& unit : m_entries) {
        add(unit.vm, unit.peers, "entry", "sala-a", "");
    }
    control_platform(json::serialize(json::object{{"vms", machines}}));
}

std::uint64_t cluster::runs_of(const http::request& call) const {
    std::uint64_t runs = 0;
    for (std::size_t index = 0; index < m_backends.size(); ++index) {
        if (m_backends[index].server->is_running()) {
            runs += runs_of(call, index);
        }
    }
    return runs;
}

std::uint64_t cluster::runs_of(const http::request& call, std::size_t index) const {
    const auto counts = json::parse(fetch_text(m_backends.at(index).server_address, "/control/runs"));
    return number_at(counts.at("by_fingerprint"), to_hex(fingerprint_of(call.body)));
}

std::uint64_t cluster::server_count(std::size_t index, const std::string& name) const {
    return number_at(json::parse(fetch_text(m_backends.at(index).server_address, "/control/runs")), name);
}

std::uint64_t cluster::platform_count(const std::string& name) const {
    return number_at(json::parse(fetch_text(m_platform_address, "/control/counts")), name);
}

std::size_t cluster::wait_for_run(const http::request& call) const {
    std::size_t found = 0;
    wait_until("a run of the request", [&] {
        for (std::size_t index = 0; index < m_backends.size(); ++index) {
            if (m_backends[index].server->is_running() && runs_of(call, index) > 0) {
                found = index;
                return true;
            }
        }
        return false;
    });
    return found;
}

caller_result cluster::send(std::size_t index, const http::request& request) {
    return call(m_entries.at(index).callers, request);
}

void cluster::wait_for_entry(std::size_t index) {
    const auto name = "probe " + std::to_string(++m_starts);
    const bool has_engine =
        std::ranges::any_of(m_backends, [](const auto& unit) { return !unit.options.is_service; });
    const auto probe = has_engine ? make_completion(name, {.tokens = 1}) : make_service_call(name, name);
    wait_until("an answer from entry " + std::to_string(index), [&] {
        const auto answer = send(index, probe);
        if (answer.status != 200) {
            throw std::runtime_error(std::to_string(answer.status) + " " + answer.body + answer.error);
        }
        return true;
    });
}

fs::path cluster::write_file(const std::string& name, const std::string& text) const {
    auto path = m_folder / name;
    std::ofstream(path) << text;
    return path;
}

void cluster::show_logs() const {
    for (const auto& unit : m_backends) {
        if (unit.sidecar != nullptr) {
            std::cerr << "--- sidecar of " << unit.options.name << '\n' << unit.sidecar->log_text();
        }
    }
    for (const auto& unit : m_entries) {
        if (unit.process != nullptr) {
            std::cerr << "--- " << unit.vm << '\n' << unit.process->log_text();
        }
    }
}

} // namespace borageford::test
