// Fuzz tests of the parsers for settings files and configuration texts: each error is reported as a problem
// with its line, nothing is thrown, and the normalized text of an accepted configuration is accepted again.
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

/// The example files, and small texts in which a few mutations reach every kind of section.
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

/// Parses the text as an INI document. Returns what is wrong with the parser's result; empty when nothing is.
std::string check_document(const std::string& text) {
    std::vector<settings::problem> problems;
    const auto document = settings::parse_ini(text, "fuzz", problems);
    const auto lines = static_cast<unsigned>(std::ranges::count(text, '\n')) + 1;
    for (const auto& problem : problems) {
        if (problem.expected.empty() || problem.line > lines) {
            return "a problem without an expectation or with a line past the end: " + problem.to_string();
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

/// Parses the text as a configuration and, if it is valid, its normalized text again. Returns what is wrong;
/// empty when nothing is.
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

TEST_CASE("damaged files give reported problems and cause no other error", "[fuzz]") {
    // An editor or a faulty transfer may damage an operator's configuration text. A parser that throws would
    // end the entry on a plan; a parser that accepts a text whose normalized form it rejects would leave
    // nodes without a configuration.
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
