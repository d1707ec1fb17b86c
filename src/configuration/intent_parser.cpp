// Converts the INI sections of an intent file to typed values, then checks what depends on several sections.
#include "configuration/intent_parser.hpp"

#include "settings/section_reader.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <tuple>
#include <utility>

namespace borageford::configuration {
namespace {

using settings::ini_document;
using settings::ini_section;
using settings::problem;
using settings::section_reader;
using std::chrono::milliseconds;

constexpr std::size_t max_name_length = 64;
constexpr std::size_t key_hash_digits = 64;
constexpr std::int64_t max_rank = 15;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_concurrent_requests = 1'000'000;
constexpr std::int64_t max_tokens = 16'000'000;
constexpr double max_rate = 1e9;
constexpr milliseconds min_target{1};
constexpr milliseconds max_target{600'000};
constexpr std::array<std::string_view, 2> backend_kinds{"engine", "service"};
constexpr std::array<std::string_view, 6> section_kinds{"tier",    "workspace",      "model",
                                                        "service", "backend_server", "route"};

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

/// Whether the text is a valid name. The set of characters is small because names become parts of URL paths,
/// of the table's row keys and of metric labels.
bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_name_character);
}

bool is_key_hash(std::string_view text) {
    return text.size() == key_hash_digits &&
           std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

template <typename Item>
bool has_item(const std::vector<Item>& items, std::string_view name) {
    return std::ranges::find(items, name, &Item::name) != items.end();
}

/// Reads one intent file. Invariant: a kind of section is read after the kinds that it refers to by name.
class intent_reader {
public:
    intent_reader(const ini_document& document, configuration& result, std::vector<problem>& problems)
        : m_document(document), m_result(result), m_problems(problems) {}

    void read() {
        for (const auto& section : m_document.sections) {
            check_kind(section);
        }
        read_kind("tier", [this](const ini_section& section) { read_tier(section); });
        read_kind("model", [this](const ini_section& section) { read_model(section); });
        read_kind("service", [this](const ini_section& section) { read_service(section); });
        read_kind("workspace", [this](const ini_section& section) { read_workspace(section); });
        read_kind("backend_server", [this](const ini_section& section) { read_backend_server(section); });
        read_kind("route", [this](const ini_section& section) { read_route(section); });
        check_document();
    }

private:
    void report_problem(unsigned line, std::string key, std::string expected) {
        m_problems.push_back({m_document.file, line, std::move(key), std::move(expected)});
    }

    void check_kind(const ini_section& section) {
        if (std::ranges::find(section_kinds, section.kind) == section_kinds.end()) {
            std::string expected = "one of the sections";
            for (const auto& kind : section_kinds) {
                expected.append(" [").append(kind).append(" NAME]");
            }
            report_problem(section.line, section.title(), std::move(expected));
            return;
        }
        if (!is_name(section.name)) {
            report_problem(section.line, section.title(),
                           "a name of at most 64 letters, digits, '-', '_' or '.' after the kind");
        }
    }

    void read_kind(std::string_view kind, const std::function<void(const ini_section&)>& read_section) {
        for (const auto& section : m_document.sections) {
            if (section.kind == kind) {
                read_section(section);
            }
        }
    }

    section_reader reader_for(const ini_section& section) {
        return {m_document, &section, section.title(), m_problems};
    }

    /// Reports an error for each name that none of the items has.
    template <typename Item>
    void check_names(section_reader& reader, std::string_view key, const std::vector<std::string>& names,
                     const std::vector<Item>& items, std::string_view kind) {
        for (const auto& name : names) {
            if (!has_item(items, name)) {
                reader.report_problem(key, "names of [" + std::string(kind) + "] sections; there is no \"" +
                                               name + "\"");
            }
        }
    }

    void check_distinct(section_reader& reader, std::string_view key, std::vector<std::string> names) {
        std::ranges::sort(names);
        const auto repeated = std::ranges::adjacent_find(names);
        if (repeated != names.end()) {
            reader.report_problem(key, "each value once; \"" + *repeated + "\" is repeated");
        }
    }

    void read_tier(const ini_section& section) {
        auto reader = reader_for(section);
        tier item;
        item.name = section.name;
        const auto problems_before = m_problems.size();
        if (section.find("rank") == nullptr) {
            reader.report_problem("rank",
                                  "a whole number from 0 (the highest tier) on (the key is required)");
        }
        item.rank = static_cast<unsigned>(reader.number("rank", 0, 0, max_rank));
        const bool has_rank = m_problems.size() == problems_before;
        item.first_token_target =
            reader.duration("first_token", item.first_token_target, min_target, max_target);
        item.between_tokens_target =
            reader.duration("between_tokens", item.between_tokens_target, min_target, max_target);
        reader.report_unknown_keys();
        const auto same_rank = std::ranges::find(m_result.tiers, item.rank, &tier::rank);
        if (has_rank && same_rank != m_result.tiers.end()) {
            reader.report_problem("rank", "a rank of its own; tier " + same_rank->name + " has the same");
        }
        m_result.tiers.push_back(std::move(item));
    }

    void read_model(const ini_section& section) {
        auto reader = reader_for(section);
        model item;
        item.name = section.name;
        item.version = reader.text("version");
        item.adapters = reader.list("adapters");
        check_distinct(reader, "adapters", item.adapters);
        item.context_tokens =
            static_cast<unsigned>(reader.number("context_tokens", item.context_tokens, 1, max_tokens));
        item.expected_output_tokens = static_cast<unsigned>(
            reader.number("expected_output_tokens", item.expected_output_tokens, 1, max_tokens));
        if (item.expected_output_tokens > item.context_tokens) {
            reader.report_problem("expected_output_tokens", "no more than context_tokens");
        }
        reader.report_unknown_keys();
        m_result.models.push_back(std::move(item));
    }

    void read_service(const ini_section& section) {
        auto reader = reader_for(section);
        reader.report_unknown_keys();
        m_result.services.push_back({section.name});
    }

    void read_workspace(const ini_section& section) {
        auto reader = reader_for(section);
        workspace item;
        item.name = section.name;
        item.key_hashes = reader.list("key_sha256");
        if (item.key_hashes.empty()) {
            reader.report_problem("key_sha256", "the SHA-256 of at least one API key");
        }
        for (const auto& hash : item.key_hashes) {
            check_key_hash(reader, section, hash);
        }
        check_distinct(reader, "key_sha256", item.key_hashes);
        item.tier = reader.text("tier");
        if (!item.tier.empty()) {
            check_names(reader, "tier", {item.tier}, m_result.tiers, "tier");
        }
        item.requests_per_second = reader.real("requests_per_second", 0, 0, max_rate);
        item.request_burst = reader.real("request_burst", 0, 0, max_rate);
        item.tokens_per_second = reader.real("tokens_per_second", 0, 0, max_rate);
        item.concurrent_requests =
            static_cast<unsigned>(reader.number("concurrent_requests", 0, 0, max_concurrent_requests));
        reader.report_unknown_keys();
        m_result.workspaces.push_back(std::move(item));
    }

    void check_key_hash(section_reader& reader, const ini_section& section, const std::string& hash) {
        if (!is_key_hash(hash)) {
            // The value may be the API key itself, pasted by mistake. reader.report_problem() would quote it,
            // and the secret would end up in terminals and logs.
            const auto* entry = section.find("key_sha256");
            report_problem(entry->line, section.title() + ".key_sha256",
                           "64 lower-case hexadecimal digits each (the SHA-256 of a key, never the key)");
            return;
        }
        const auto* owner = m_result.find_workspace_by_key_hash(hash);
        if (owner != nullptr) {
            reader.report_problem("key_sha256",
                                  "a key of its own; workspace " + owner->name + " has the same");
        }
    }

    void read_backend_server(const ini_section& section) {
        auto reader = reader_for(section);
        backend_server item;
        item.name = section.name;
        item.kind = static_cast<backend_kind>(reader.choice("kind", backend_kinds, 0));
        item.failure_domain = reader.text("failure_domain");
        item.models = reader.list("models");
        item.services = reader.list("services");
        item.adapters = reader.list("adapters");
        item.role = reader.text("role", "");
        item.slots = static_cast<unsigned>(reader.number("slots", item.slots, 1, max_slots));
        item.checks_fencing = reader.flag("checks_fencing", item.checks_fencing);
        item.drained = reader.flag("drained", item.drained);
        reader.report_unknown_keys();
        check_names(reader, "models", item.models, m_result.models, "model");
        check_names(reader, "services", item.services, m_result.services, "service");
        check_distinct(reader, "models", item.models);
        check_distinct(reader, "services", item.services);
        check_targets_match_kind(reader, item);
        check_adapters(reader, item);
        m_result.backend_servers.push_back(std::move(item));
    }

    static void check_targets_match_kind(section_reader& reader, const backend_server& item) {
        const bool is_engine = item.kind == backend_kind::engine;
        if (is_engine && !item.services.empty()) {
            reader.report_problem("services", "no services where kind = engine");
        }
        if (is_engine && item.models.empty()) {
            reader.report_problem("models", "at least one model where kind = engine");
        }
        if (!is_engine && !item.models.empty()) {
            reader.report_problem("models", "no models where kind = service");
        }
        if (!is_engine && item.services.empty()) {
            reader.report_problem("services", "at least one service where kind = service");
        }
        if (!is_engine && !item.adapters.empty()) {
            reader.report_problem("adapters", "no adapters where kind = service");
        }
        if (!is_engine && !item.role.empty()) {
            reader.report_problem("role", "no role where kind = service");
        }
    }

    void check_adapters(section_reader& reader, const backend_server& item) {
        for (const auto& adapter : item.adapters) {
            const bool is_known = std::ranges::any_of(m_result.models, [&](const model& candidate) {
                return std::ranges::find(item.models, candidate.name) != item.models.end() &&
                       std::ranges::find(candidate.adapters, adapter) != candidate.adapters.end();
            });
            if (!is_known) {
                reader.report_problem("adapters",
                                      "adapters of this server's models; none has \"" + adapter + "\"");
            }
        }
    }

    void read_route(const ini_section& section) {
        auto reader = reader_for(section);
        route item;
        item.name = section.name;
        item.workspace = reader.text("workspace");
        item.tiers = reader.list("tiers");
        item.model = reader.text("model", "");
        item.service = reader.text("service", "");
        item.idempotent = reader.flag("idempotent", item.idempotent);
        reader.report_unknown_keys();
        check_names(reader, "tiers", item.tiers, m_result.tiers, "tier");
        check_pattern(reader, "workspace", item.workspace, m_result.workspaces);
        check_pattern(reader, "model", item.model, m_result.models);
        check_pattern(reader, "service", item.service, m_result.services);
        if (item.model.empty() == item.service.empty()) {
            reader.report_problem(item.model.empty() ? "model" : "service", "either a model or a service");
        }
        m_result.routes.push_back(std::move(item));
    }

    template <typename Item>
    void check_pattern(section_reader& reader, std::string_view kind, const std::string& pattern,
                       const std::vector<Item>& items) {
        if (!pattern.empty() && pattern != "*") {
            check_names(reader, kind, {pattern}, items, kind);
        }
    }

    void check_document() {
        if (m_result.tiers.empty()) {
            report_problem(0, "tier", "at least one [tier NAME] section");
        }
        check_shared_names();
    }

    /// Reports services that have the name of a model. An offer to a backend server contains only its
    /// target's name, not whether the target is a model or a service, so the two kinds must not share a name.
    void check_shared_names() {
        for (const auto& section : m_document.sections) {
            if (section.kind == "service" && has_item(m_result.models, section.name)) {
                report_problem(section.line, section.title(), "a name that no model has");
            }
        }
    }

    const ini_document& m_document;
    configuration& m_result;
    std::vector<problem>& m_problems;
};

} // namespace

configuration parse_intent(std::string_view text, std::string_view file, std::vector<problem>& problems) {
    configuration result;
    result.text = text;
    const auto first = problems.size();
    const auto document = settings::parse_ini(text, file, problems);
    intent_reader(document, result, problems).read();
    const auto new_problems = std::span(problems).subspan(first);
    std::ranges::sort(new_problems, [](const problem& left, const problem& right) {
        return std::tie(left.line, left.key) < std::tie(right.line, right.key);
    });
    return result;
}

} // namespace borageford::configuration
