// Files that no operator meant to write: every complaint is a problem with its line, nothing is thrown, and
// what is accepted once is accepted again.
#include "configuration/intent_parser.hpp"
#include "fuzz/mutator.hpp"
#include "settings/ini_document.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace borageford;

namespace {

constexpr std::uint64_t first_seed = 20261203;
constexpr int iterations = 60'000;

/// The example files, and small ones that reach every section within a few mutations.
std::vector<std::string> make_samples() {
    std::vector<std::string> samples{"[tier a]\nrank = 0\n", "[model m]\nversion = 1\n[service s]\n",
                                     "[route r]\nworkspace = *\nmodel = *\nidempotent = no\n",
                                     "[backend_server b]\nkind = engine\nfailure_domain = f\nmodels = m\n",
                                     "; only a comment\n\n[x]\r\nkey=\tvalue = more\n"};
    for (const auto& file : std::filesystem::directory_iterator(EXAMPLES_FOLDER)) {
        std::ifstream stream(file.path(), std::ios::binary);
        samples.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    }
    return samples;
}

std::string check_document(const std::string& text) {
    std::vector<settings::problem> problems;
    const auto document = settings::parse_ini(text, "fuzz", problems);
    const auto lines = static_cast<unsigned>(std::ranges::count(text, '\n')) + 1;
    for (const auto& problem : problems) {
        if (problem.expected.empty() || problem.line > lines) {
            return "a complaint without words or past the end: " + problem.to_string();
        }
    }
    for (const auto& section : document.sections) {
        if (section.kind.empty() || section.line == 0 || section.line > lines) {
            return "a section without a kind or a line";
        }
        for (const auto& entry : section.entries) {
            if (entry.key.empty() || entry.line <= section.line || entry.line > lines) {
                return "a key without a name or a line";
            }
        }
    }
    return {};
}

std::string check_intent(const std::string& text) {
    std::vector<settings::problem> problems;
    const auto first = configuration::parse_intent(text, "fuzz", problems);
    if (!problems.empty()) {
        return {};
    }
    std::ignore = configuration::parse_intent(first.text, "fuzz", problems);
    return problems.empty() ? std::string() : "accepted once, then: " + problems.front().to_string();
}

} // namespace

TEST_CASE("damaged files give complaints, never more", "[fuzz]") {
    // An operator's editor or a copy over a bad line damages an intent. A reader that throws would take an
    // entry down on "plan"; one that accepts what it can't read back would leave nodes without configuration.
    const auto samples = make_samples();
    test::mutator mutator(first_seed);
    for (int iteration = 0; iteration < iterations; ++iteration) {
        const auto text = mutator.mutate(samples);
        std::string fault;
        try {
            fault = check_document(text);
            if (fault.empty()) {
                fault = check_intent(text);
            }
        } catch (const std::exception& error) {
            fault = error.what();
        }
        if (!fault.empty()) {
            FAIL("iteration " << iteration << ", " << fault << ":\n" << text);
        }
    }
}
