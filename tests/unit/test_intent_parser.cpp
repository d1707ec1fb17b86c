// Tests of the intent parser: valid intents and the example files are read without problems, and all errors
// in a file are reported at once.
#include "configuration/intent_parser.hpp"
#include "entry/entry_settings.hpp"
#include "settings/ini_document.hpp"
#include "sidecar/sidecar_settings.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace borageford;
using configuration::parse_intent;
using settings::problem;

namespace {

const std::string hash_a(64, 'a');

const std::string valid_intent = "[tier high]\nrank = 0\n"
                                 "[model m]\nversion = 1\nadapters = x\n"
                                 "[service s]\n"
                                 "[workspace w]\nkey_sha256 = " +
                                 hash_a +
                                 "\ntier = high\n"
                                 "[backend_server b]\nfailure_domain = d\nmodels = m\n"
                                 "[route r]\nworkspace = w\nmodel = m\n";

std::vector<problem> problems_of(const std::string& text) {
    std::vector<problem> problems;
    static_cast<void>(parse_intent(text, "intent.ini", problems));
    return problems;
}

bool has_problem(const std::vector<problem>& problems, unsigned line, const std::string& key,
                 const std::string& part) {
    return std::ranges::any_of(problems, [&](const problem& found) {
        return found.line == line && found.key == key && found.expected.find(part) != std::string::npos;
    });
}

/// A section with one error and the problem that must be reported for it.
struct invalid_section {
    std::string text; ///< appended to a valid intent
    std::string key;
    std::string expected;
};

} // namespace

TEST_CASE("a valid intent is read completely", "[configuration]") {
    std::vector<problem> problems;
    const auto read = parse_intent(valid_intent, "intent.ini", problems);
    REQUIRE(problems.empty());
    CHECK(read.tiers.size() == 1);
    CHECK(read.find_workspace_by_key_hash(hash_a)->name == "w");
    CHECK(read.find_model("m")->adapters == std::vector<std::string>{"x"});
    CHECK(read.find_backend_server("b")->slots == 16);
    CHECK(read.find_route("w", "high", "m", false)->idempotent);
    CHECK(read.find_route("w", "high", "s", true) == nullptr);
    CHECK(read.text == valid_intent);
}

TEST_CASE("the example intent file has no errors", "[configuration][examples]") {
    std::vector<problem> problems;
    const std::string path = EXAMPLES_FOLDER "/intent.ini";
    const auto read = parse_intent(settings::read_file(path, problems), path, problems);
    for (const auto& found : problems) {
        UNSCOPED_INFO(found.to_string());
    }
    REQUIRE(problems.empty());
    CHECK(read.workspaces.size() == 5);
    CHECK(read.find_route("lectores", "interactive", "pluma", false)->idempotent);
    CHECK_FALSE(read.find_route("lectores", "interactive", "marcadores", true)->idempotent);
}

TEST_CASE("the example settings files have no errors", "[settings][examples]") {
    std::vector<problem> problems;
    const std::string path = EXAMPLES_FOLDER "/entry.ini";
    const auto text = settings::read_file(path, problems);
    const auto entry = entry::read_entry_settings(settings::parse_ini(text, path, problems), problems);
    const auto sidecar = sidecar::read_sidecar_settings(EXAMPLES_FOLDER "/sidecar.ini", problems);
    for (const auto& found : problems) {
        UNSCOPED_INFO(found.to_string());
    }
    REQUIRE(problems.empty());
    CHECK(entry.common.vm == "entry-1");
    CHECK(sidecar.backend_server == "pluma-1");
}

TEST_CASE("each kind of error is reported with its key and what was expected", "[configuration]") {
    // An operator makes a typing error in a long file. If it were accepted, callers would be routed or
    // limited wrongly until somebody notices, so each error must be reported with its line and key.
    const std::string hash_b(64, 'b');
    const std::vector<invalid_section> invalid_sections{
        {"[tire low]\n", "tire low", "one of the sections"},
        {"[tier]\nrank = 1\n", "tier", "a name of at most 64"},
        {"[tier a/b]\nrank = 1\n", "tier a/b", "a name of at most 64"},
        {"[tier low]\n", "tier low.rank", "required"},
        {"[tier low]\nrank = -1\n", "tier low.rank", "whole number"},
        {"[tier low]\nrank = 0\n", "tier low.rank", "tier high has the same"},
        {"[tier low]\nrank = 1\nfirst_token = 5\n", "tier low.first_token", "duration with its unit"},
        {"[tier low]\nrank = 1\nspeed = 5\n", "tier low.speed", "a known key"},
        {"[model n]\n", "model n.version", "required"},
        {"[model n]\nversion = 1\ncontext_tokens = many\n", "model n.context_tokens", "whole number"},
        {"[model n]\nversion = 1\ncontext_tokens = 10\nexpected_output_tokens = 11\n",
         "model n.expected_output_tokens", "no more than"},
        {"[model n]\nversion = 1\nadapters = y, y\n", "model n.adapters", "repeated"},
        {"[service m]\n", "service m", "a name that no model has"},
        {"[workspace v]\ntier = high\n", "workspace v.key_sha256", "at least one"},
        {"[workspace v]\nkey_sha256 = secret\ntier = high\n", "workspace v.key_sha256", "64 lower-case"},
        {"[workspace v]\nkey_sha256 = " + hash_a + "\ntier = high\n", "workspace v.key_sha256",
         "workspace w has the same"},
        {"[workspace v]\nkey_sha256 = " + hash_b + "\n", "workspace v.tier", "required"},
        {"[workspace v]\nkey_sha256 = " + hash_b + "\ntier = top\n", "workspace v.tier", "\"top\""},
        {"[workspace v]\nkey_sha256 = " + hash_b + "\ntier = high\nrequests_per_second = nan\n",
         "workspace v.requests_per_second", "a number"},
        {"[workspace v]\nkey_sha256 = " + hash_b + "\ntier = high\nconcurrent_requests = 1.5\n",
         "workspace v.concurrent_requests", "whole number"},
        {"[backend_server c]\nmodels = m\n", "backend_server c.failure_domain", "required"},
        {"[backend_server c]\nfailure_domain = d\n", "backend_server c.models", "at least one model"},
        {"[backend_server c]\nfailure_domain = d\nmodels = q\n", "backend_server c.models", "\"q\""},
        {"[backend_server c]\nkind = gpu\nfailure_domain = d\nmodels = m\n", "backend_server c.kind",
         "one of engine service"},
        {"[backend_server c]\nkind = service\nfailure_domain = d\nservices = s\nmodels = m\n",
         "backend_server c.models", "no models"},
        {"[backend_server c]\nfailure_domain = d\nmodels = m\nservices = s\n", "backend_server c.services",
         "no services"},
        {"[backend_server c]\nfailure_domain = d\nmodels = m\nadapters = z\n", "backend_server c.adapters",
         "\"z\""},
        {"[backend_server c]\nfailure_domain = d\nmodels = m\nslots = 0\n", "backend_server c.slots",
         "whole number"},
        {"[backend_server c]\nfailure_domain = d\nmodels = m\ndrained = maybe\n", "backend_server c.drained",
         "one of no yes"},
        {"[route q]\nmodel = m\n", "route q.workspace", "required"},
        {"[route q]\nworkspace = nobody\nmodel = m\n", "route q.workspace", "\"nobody\""},
        {"[route q]\nworkspace = w\n", "route q.model", "either a model or a service"},
        {"[route q]\nworkspace = w\nmodel = m\nservice = s\n", "route q.service", "either a model"},
        {"[route q]\nworkspace = w\nmodel = m\ntiers = low\n", "route q.tiers", "\"low\""},
        {"[route q]\nworkspace = w\nmodel = gone\n", "route q.model", "\"gone\""},
        {"[route q]\nworkspace = w\nservice = s\nidempotent = 1\n", "route q.idempotent", "one of no yes"},
    };
    const auto lines = static_cast<unsigned>(std::ranges::count(valid_intent, '\n'));
    for (const auto& entry : invalid_sections) {
        const auto problems = problems_of(valid_intent + entry.text);
        INFO(entry.text);
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().file == "intent.ini");
        CHECK(problems.front().line > lines);
        CHECK(has_problem(problems, problems.front().line, entry.key, entry.expected));
    }
}

TEST_CASE("all errors in a file are reported at once in the order of lines", "[configuration]") {
    const auto problems = problems_of("[tier high]\nrank = x\n[workspace w]\ntier = top\n[nonsense]\n");
    REQUIRE(problems.size() == 4);
    CHECK(has_problem(problems, 2, "tier high.rank", "whole number"));
    CHECK(has_problem(problems, 3, "workspace w.key_sha256", "at least one"));
    CHECK(has_problem(problems, 4, "workspace w.tier", "\"top\""));
    CHECK(has_problem(problems, 5, "nonsense", "one of the sections"));
}

TEST_CASE("an empty intent is an error", "[configuration]") {
    const auto problems = problems_of("");
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().expected == "at least one [tier NAME] section");
}

TEST_CASE("an API key pasted in place of its hash is not quoted in the reported problem", "[configuration]") {
    // An operator pastes the API key itself by mistake. If the problem quoted it, the secret would appear in
    // terminals and logs that other people read.
    const auto problems =
        problems_of("[tier high]\nrank = 0\n[workspace w]\nkey_sha256 = hunter2\ntier = high\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().to_string().find("hunter2") == std::string::npos);
}
