// Checks docs/SETTINGS.md against the code that reads settings files and intent files: both must have the
// same keys, the same required keys and the same accepted values.
#include "base/identifier.hpp"
#include "configuration/intent_parser.hpp"
#include "entry/entry_settings.hpp"
#include "gateway/gateway_settings.hpp"
#include "settings/section_reader.hpp"
#include "sidecar/sidecar_settings.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace borageford;
using problems = std::vector<settings::problem>;

namespace {

/// Parses the text of a settings or intent file and returns the problems found.
using file_reader = std::function<problems(const std::string& text)>;

problems read_entry(const std::string& text) {
    problems found;
    std::ignore = entry::read_entry_settings(settings::parse_ini(text, "page", found), found);
    return found;
}

problems read_sidecar(const std::string& text) {
    const auto file = std::filesystem::temp_directory_path() / identifier::random().to_string();
    std::ofstream(file) << text;
    problems found;
    std::ignore = sidecar::read_sidecar_settings(file.string(), found);
    std::filesystem::remove(file);
    return found;
}

problems read_gateway(const std::string& text) {
    problems found;
    std::ignore = gateway::read_gateway_settings(settings::parse_ini(text, "page", found), found);
    return found;
}

problems read_intent(const std::string& text) {
    problems found;
    std::ignore = configuration::parse_intent(text, "page", found);
    return found;
}

struct documented_section {
    std::string page_title;
    std::string title; ///< section title as it is written in a file
    file_reader read;  ///< reads the kind of file that contains the section
};

const std::vector<documented_section>& documented_sections() {
    static const std::vector<documented_section> sections{
        {"[process]", "process", read_entry},
        {"[platform]", "platform", read_entry},
        {"[entry]", "entry", read_entry},
        {"[sidecar]", "sidecar", read_sidecar},
        {"[gateway]", "gateway", read_gateway},
        {"[tier NAME]", "tier a", read_intent},
        {"[model NAME]", "model a", read_intent},
        {"[service NAME]", "service a", read_intent},
        {"[workspace NAME]", "workspace a", read_intent},
        {"[backend_server NAME]", "backend_server a", read_intent},
        {"[route NAME]", "route a", read_intent}};
    return sections;
}

/// Reads a file that consists of this section with the given body. Returns the text of the problem reported
/// for the key; empty if there is none.
std::string find_problem(const documented_section& section, const std::string& key, const std::string& body) {
    for (const auto& problem : section.read("[" + section.title + "]\n" + body)) {
        if (problem.key == section.title + "." + key) {
            return problem.expected;
        }
    }
    return {};
}

/// Returns the keys that the code reads in this section, taken from the problem that it reports for an
/// unknown key.
std::set<std::string> read_keys_of_code(const documented_section& section) {
    constexpr std::string_view lead = "this section has";
    const std::string text = find_problem(section, "no_such_key", "no_such_key = 1\n");
    std::set<std::string> keys;
    std::string word;
    for (const char letter : text.substr(text.find(lead) + lead.size()) + " ") {
        if (letter != ' ' && letter != ',') {
            word += letter;
            continue;
        }
        if (!word.empty()) {
            keys.insert(std::exchange(word, {}));
        }
        if (letter == ',') {
            break; // the list of keys ends here; after the comma comes the value found
        }
    }
    return keys;
}

struct documented_key {
    std::string default_value; ///< "required", "none" or the default
    std::string accepted;
};

using page_sections = std::map<std::string, std::map<std::string, documented_key>>;

std::vector<std::string> cells_of(const std::string& line) {
    std::vector<std::string> cells;
    std::size_t from = 2;
    for (auto end = line.find(" |", from); end != std::string::npos; end = line.find(" |", from)) {
        cells.push_back(line.substr(from, end - from));
        from = end + 3;
    }
    return cells;
}

/// Removes the backticks of Markdown code spans.
std::string remove_backticks(std::string text) {
    std::erase(text, '`');
    return text;
}

page_sections read_page() {
    std::ifstream page(DOCS_FOLDER "/SETTINGS.md");
    REQUIRE(page);
    page_sections sections;
    std::string title;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("### ")) {
            title = remove_backticks(line.substr(4));
        } else if (line.starts_with("| `")) {
            const auto cells = cells_of(line);
            REQUIRE(cells.size() == 4);
            sections[title][remove_backticks(cells[0])] = {remove_backticks(cells[1]), cells[2]};
        }
    }
    return sections;
}

} // namespace

TEST_CASE("docs/SETTINGS.md lists the keys that the code reads", "[settings]") {
    const auto page = read_page();
    for (const auto& section : documented_sections()) {
        INFO(section.page_title);
        const auto found = page.find(section.page_title);
        std::set<std::string> documented;
        if (found != page.end()) {
            for (const auto& [key, row] : found->second) {
                documented.insert(key);
            }
        }
        CHECK(documented == read_keys_of_code(section));
    }
    CHECK(page.size() < documented_sections().size()); // [service NAME] has no keys and no table on the page
}

TEST_CASE("docs/SETTINGS.md states which keys are required", "[settings]") {
    for (const auto& section : documented_sections()) {
        const auto page = read_page()[section.page_title];
        for (const auto& [key, row] : page) {
            INFO(section.page_title << " " << key);
            const auto without = find_problem(section, key, "");
            // These keys are required or not depending on other keys: `models` on a backend server's kind,
            // and `model` on whether the route has a service.
            const bool depends = key == "models" || key == "model";
            CHECK((depends || without.empty() == (row.default_value != "required")));
        }
    }
}

TEST_CASE("docs/SETTINGS.md states the accepted values of each key", "[settings]") {
    for (const auto& section : documented_sections()) {
        const auto page = read_page()[section.page_title];
        for (const auto& [key, row] : page) {
            INFO(section.page_title << " " << key);
            REQUIRE_FALSE(row.accepted.empty());
            const auto wrong = find_problem(section, key, key + " = ?\n");
            CHECK((wrong.empty() ? row.accepted.starts_with("any ") : wrong.starts_with(row.accepted)));
            if (row.default_value != "required" && row.default_value != "none") {
                CHECK(find_problem(section, key, key + " = " + row.default_value + "\n").empty());
            }
        }
    }
}
