// Reads the sections kind by kind, in an order in which a section refers only to sections that were read
// before.
#include "experiment/experiment_reader.hpp"

#include "settings/section_reader.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <utility>

namespace borageford::experiment {
namespace {

using settings::ini_section;
using settings::problem;
using settings::section_reader;

constexpr milliseconds none{0};
constexpr milliseconds shortest{1};
constexpr milliseconds longest{3'600'000};
constexpr double most = 1e9;
constexpr std::int64_t most_servers = 1000;
constexpr std::int64_t most_tier = 7;
constexpr std::uint64_t most_padding = 1U << 30U;
/// A gateway listens on four consecutive ports: for callers, readiness, other gateways and metrics.
constexpr std::uint16_t ports_of_a_gateway = 4;

constexpr std::array<std::string_view, 8> section_kinds{"experiment", "service", "workspace", "route",
                                                        "callers",    "burst",   "fault",     "rush"};
constexpr std::array<std::string_view, 2> service_kinds{"engine", "plain"};
constexpr std::array<std::string_view, 3> fatal_traits{"none", "request", "part"};
constexpr std::array<std::string_view, 3> route_kinds{"idempotent", "non_idempotent", "stream"};
constexpr std::array<std::string_view, 14> fault_kinds{
    "crash",  "hang",      "fail",         "cut",           "slow",         "drain",      "limit",
    "refuse", "irregular", "gateway_lost", "store_refuses", "store_silent", "store_slow", "store_returns"};

/// The index of the item with this name, or nothing.
template <typename Item>
std::optional<std::size_t> find_named(const std::vector<Item>& items, std::string_view name) {
    const auto found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? std::nullopt : std::optional<std::size_t>(found - items.begin());
}

/// Reads one document into a plan and collects all errors.
class experiment_reader {
public:
    experiment_reader(const settings::ini_document& document, std::vector<problem>& problems)
        : m_document(document), m_problems(problems) {}

    experiment_plan read() {
        check_kinds();
        read_general();
        read_each("service", [this](const ini_section& section) { read_service(section); });
        read_each("workspace", [this](const ini_section& section) { read_workspace(section); });
        read_each("route", [this](const ini_section& section) { read_route(section); });
        read_each("callers", [this](const ini_section& section) { read_callers(section); });
        read_each("burst", [this](const ini_section& section) { read_burst(section); });
        read_each("fault", [this](const ini_section& section) { read_fault(section); });
        read_each("rush", [this](const ini_section& section) { read_rush(section); });
        m_plan.configuration.version = 1;
        return std::move(m_plan);
    }

private:
    void check_kinds() {
        for (const auto& section : m_document.sections) {
            if (std::ranges::find(section_kinds, section.kind) == section_kinds.end()) {
                m_problems.push_back(
                    {m_document.file, section.line, section.title(),
                     "one of the sections [experiment], [service NAME], [workspace NAME], "
                     "[route NAME], [callers NAME], [burst NAME], [fault NAME], [rush NAME]"});
            }
        }
    }

    /// Reads all sections of one kind; each of them must have a name.
    void read_each(std::string_view kind, const std::function<void(const ini_section&)>& read_section) {
        for (const auto& section : m_document.sections) {
            if (section.kind != kind) {
                continue;
            }
            if (section.name.empty()) {
                m_problems.push_back(
                    {m_document.file, section.line, section.title(), "a name after the kind"});
            } else {
                read_section(section);
            }
        }
    }

    section_reader reader_for(const ini_section& section) {
        return {m_document, &section, section.title(), m_problems};
    }

    void read_general() {
        const auto found = std::ranges::find(m_document.sections, "experiment", &ini_section::kind);
        const auto* section = found != m_document.sections.end() ? &*found : nullptr;
        section_reader reader(m_document, section, "experiment", m_problems);
        m_plan.name = reader.text("name", "experiment");
        m_plan.load.length = reader.duration("length", milliseconds(30000), milliseconds(100), longest);
        m_plan.load.seed = static_cast<std::uint64_t>(reader.number("seed", 1, 0, 1'000'000'000));
        m_plan.load.mean_group_size = reader.real("clump", 1, 1, 1000);
        m_plan.store = reader.address("store");
        m_plan.gateway_settings = read_gateway_settings(reader);
        m_plan.back_after = reader.duration("back_after", m_plan.back_after, shortest, longest);
        read_gateways(reader);
        reader.report_unknown_keys();
    }

    /// Turns a comma-separated list of "key = value" pairs into lines of the gateways' settings files.
    static std::string read_gateway_settings(section_reader& reader) {
        std::string lines;
        for (const auto& pair : reader.list("gateway_settings")) {
            lines += pair + "\n";
        }
        return lines;
    }

    void read_gateways(section_reader& reader) {
        constexpr std::string_view expected = "addresses of gateways, IP:PORT, separated by commas";
        const auto texts = reader.list("gateways");
        for (const auto& text : texts) {
            const auto colon = text.rfind(':');
            boost::system::error_code error;
            const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
            const int port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
            if (error || port <= 0 || port > UINT16_MAX - ports_of_a_gateway) {
                reader.report_problem("gateways", std::string(expected));
                return;
            }
            m_plan.gateways.push_back({address, static_cast<std::uint16_t>(port)});
        }
        if (texts.empty()) {
            reader.report_problem("gateways", std::string(expected) + " (the key is required)");
        }
    }

    void read_service(const ini_section& section) {
        auto reader = reader_for(section);
        server_group group;
        group.service = section.name;
        const bool is_engine = reader.choice("kind", service_kinds, 0) == 0;
        group.count = static_cast<std::size_t>(reader.number("servers", 1, 1, most_servers));
        group.first_address = reader.address("address");
        group.slots = static_cast<unsigned>(reader.number("slots", group.slots, 1, 4096));
        group.work = reader.duration("work", group.work, none, longest);
        group.speeds = read_speeds(reader);
        group.software = reader.list("software");
        group.padding = reader.size("padding", group.padding, 0, most_padding);
        group.unread_limit = reader.duration("unread_limit", group.unread_limit, shortest, longest);
        routing::service service;
        service.name = section.name;
        service.health_path = "/healthz";
        service.connections = static_cast<unsigned>(reader.number("connections", 0, 0, 100'000));
        if (is_engine) {
            auto& engine = group.engine.emplace();
            engine.slots = group.slots;
            engine.step_ms = reader.real("step_ms", engine.step_ms, 0.001, most);
            engine.prompt_tokens_per_ms =
                reader.real("prompt_tokens_per_ms", engine.prompt_tokens_per_ms, 0.001, most);
            engine.setup_ms = reader.real("setup_ms", engine.setup_ms, 0, most);
            engine.tokens_per_event = static_cast<unsigned>(reader.number("tokens_per_event", 4, 1, 10'000));
            engine.memory_tokens = reader.real("memory_tokens", 0, 0, most);
            service.engine = routing::engine_profile{
                group.slots, static_cast<std::uint64_t>(engine.memory_tokens), engine.tokens_per_event};
        }
        reader.report_unknown_keys();
        m_plan.configuration.services.push_back(std::move(service));
        m_plan.servers.push_back(std::move(group));
    }

    static std::vector<double> read_speeds(section_reader& reader) {
        std::vector<double> result;
        for (const auto& text : reader.list("speeds")) {
            const double speed = std::atof(text.c_str());
            if (speed <= 0) {
                reader.report_problem("speeds", "time factors over 0, separated by commas");
                return {1};
            }
            result.push_back(speed);
        }
        return result.empty() ? std::vector<double>{1} : result;
    }

    void read_workspace(const ini_section& section) {
        auto reader = reader_for(section);
        routing::workspace workspace;
        workspace.name = section.name;
        workspace.keys = {reader.text("key")};
        workspace.tier = static_cast<int>(reader.number("tier", 0, 0, most_tier));
        workspace.rate = reader.real("tokens_per_second", 0, 0, most);
        workspace.burst = reader.real("token_burst", 0, 0, most);
        workspace.unit = routing::quota_unit::tokens;
        reader.report_unknown_keys();
        m_plan.configuration.workspaces.push_back(std::move(workspace));
    }

    void read_route(const ini_section& section) {
        auto reader = reader_for(section);
        routing::route route;
        route.name = section.name;
        route.host = reader.text("host", "site.example");
        route.prefix = "/" + section.name + "/";
        route.kind = static_cast<routing::route_kind>(reader.choice("kind", route_kinds, 2));
        route.is_resumable = reader.flag("resumable", false);
        route.is_public = reader.flag("public", false);
        route.attempts = static_cast<unsigned>(reader.number("attempts", 2, 1, 100));
        route.timeout = reader.duration("timeout", route.timeout, shortest, longest);
        route.latency_target = reader.duration("target", route.latency_target, shortest, longest);
        route.pause_target = reader.duration("pause_target", route.pause_target, none, longest);
        route.tier = static_cast<int>(reader.number("tier", 0, 0, most_tier));
        const auto service = reader.text("service");
        const auto index = find_named(m_plan.configuration.services, service);
        if (index) {
            route.services.push_back({*index, 1});
        } else {
            reader.report_problem("service", "the name of a [service] section");
        }
        reader.report_unknown_keys();
        m_plan.configuration.routes.push_back(std::move(route));
    }

    void read_callers(const ini_section& section) {
        auto reader = reader_for(section);
        caller_group group;
        group.name = section.name;
        group.route = reader.text("route");
        group.max_retries = static_cast<unsigned>(reader.number("returns", group.max_retries, 0, 100));
        group.disconnect_probability = reader.real("gives_up", group.disconnect_probability, 0, 1);
        group.reads_after = reader.duration("reads_after", none, none, longest);
        group.key = read_key(reader);
        group.parts = reader.list("parts");
        read_fatal_trait(reader, group);
        emulator::request_class sizes;
        sizes.name = section.name;
        sizes.per_second = reader.real("per_second", sizes.per_second, 0, most);
        sizes.prompt_tokens = reader.real("prompt_tokens", sizes.prompt_tokens, 0, most);
        sizes.prompt_spread = reader.real("prompt_spread", 0.5, 0, 10);
        sizes.output_tokens = reader.real("output_tokens", sizes.output_tokens, 1, most);
        sizes.output_spread = reader.real("output_spread", 0.5, 0, 10);
        sizes.deadline = reader.duration("deadline", milliseconds(10000), shortest, longest);
        const auto route = find_named(m_plan.configuration.routes, group.route);
        if (route) {
            sizes.target = m_plan.configuration.routes[*route].latency_target;
        } else {
            reader.report_problem("route", "the name of a [route] section");
        }
        reader.report_unknown_keys();
        m_plan.callers.push_back(std::move(group));
        m_plan.load.classes.push_back(std::move(sizes));
    }

    void read_fatal_trait(section_reader& reader, caller_group& group) {
        group.fatal = static_cast<fatal_trait>(reader.choice("crash_servers_by", fatal_traits, 0));
        if (group.fatal == fatal_trait::request) {
            m_plan.crash_rule.body_text = fatal_body_text;
        } else if (group.fatal == fatal_trait::part) {
            const bool is_only = m_plan.crash_rule.part.empty();
            if (group.parts.empty() || !is_only) {
                reader.report_problem("crash_servers_by", "'part' for one group of callers, which has parts");
                return;
            }
            m_plan.crash_rule.part = group.parts.back();
        }
    }

    /// The API key of the workspace that a section of callers names; empty when it names none.
    std::string read_key(section_reader& reader) {
        const auto name = reader.text("workspace", "");
        if (name.empty()) {
            return {};
        }
        const auto index = find_named(m_plan.configuration.workspaces, name);
        if (!index) {
            reader.report_problem("workspace", "the name of a [workspace] section");
            return {};
        }
        return m_plan.configuration.workspaces[*index].keys.front();
    }

    void read_burst(const ini_section& section) {
        auto reader = reader_for(section);
        emulator::load_burst burst;
        burst.begin = reader.duration("at", none, none, longest);
        burst.length = reader.duration("for", milliseconds(1000), shortest, longest);
        burst.factor = reader.real("factor", 2, 0, 1000);
        burst.request_class = reader.text("callers", "");
        if (!burst.request_class.empty() && !find_named(m_plan.callers, burst.request_class)) {
            reader.report_problem("callers", "the name of a [callers] section, or left out for all");
        }
        reader.report_unknown_keys();
        m_plan.load.bursts.push_back(std::move(burst));
    }

    void read_fault(const ini_section& section) {
        auto reader = reader_for(section);
        planned_fault fault;
        fault.name = section.name;
        fault.kind = static_cast<fault_kind>(reader.choice("kind", fault_kinds, 0));
        fault.at = reader.duration("at", none, none, longest);
        fault.length = reader.duration("for", fault.length, shortest, longest);
        fault.factor = reader.real("factor", fault.factor, 0.01, 1000);
        fault.per_second = reader.real("per_second", fault.per_second, 0, most);
        fault.count = static_cast<std::size_t>(reader.number("servers", 1, 1, most_servers));
        fault.faults.refused = reader.real("refused", 0, 0, 1);
        fault.faults.repeated = reader.real("repeated", 0, 0, 1);
        fault.faults.nameless = reader.real("nameless", 0, 0, 1);
        fault.faults.unavailable = reader.real("unavailable", 0, 0, 1);
        fault.software = reader.text("software", "");
        fault.pause = reader.duration("pause", fault.pause, none, longest);
        const auto last_gateway = std::max<std::int64_t>(std::ssize(m_plan.gateways), 1) - 1;
        fault.gateway = static_cast<std::size_t>(reader.number("gateway", 0, 0, last_gateway));
        fault.copy_age = reader.duration("copy_age", fault.copy_age, none, longest);
        fault.rewritten_after = reader.duration("rewritten_after", fault.rewritten_after, none, longest);
        fault.service = reader.text("service", "");
        const bool is_server_fault = fault.kind < fault_kind::gateway_lost;
        const bool has_service = find_named(m_plan.configuration.services, fault.service).has_value();
        if (is_server_fault && !has_service) {
            reader.report_problem("service", "the name of a [service] section");
        }
        reader.report_unknown_keys();
        m_plan.faults.push_back(std::move(fault));
    }

    void read_rush(const ini_section& section) {
        auto reader = reader_for(section);
        connection_rush rush;
        rush.name = section.name;
        rush.at = reader.duration("at", none, none, longest);
        rush.length = reader.duration("for", rush.length, shortest, longest);
        rush.share = reader.real("share", rush.share, 0, 1);
        const auto last_gateway = std::max<std::int64_t>(std::ssize(m_plan.gateways), 1) - 1;
        rush.gateway = static_cast<std::size_t>(reader.number("gateway", 0, 0, last_gateway));
        reader.report_unknown_keys();
        m_plan.rushes.push_back(std::move(rush));
    }

    const settings::ini_document& m_document;
    std::vector<problem>& m_problems;
    experiment_plan m_plan;
};

} // namespace

experiment_plan read_experiment(std::string_view text, std::string_view file,
                                std::vector<problem>& problems) {
    const auto document = settings::parse_ini(text, file, problems);
    return experiment_reader(document, problems).read();
}

} // namespace borageford::experiment
