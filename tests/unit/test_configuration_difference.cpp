// Tests of the lines and warnings that describe a plan to operators, and of the edit that drains a backend
// server.
#include "configuration/difference.hpp"
#include "configuration/intent_parser.hpp"
#include "configuration/plan.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace borageford;
using configuration::describe_changes;
using configuration::describe_warnings;

namespace {

const std::string tiers = "[tier high]\nrank = 0\n[tier low]\nrank = 1\n[model m]\nversion = 1\n";
const std::string workspace_key = "[workspace w]\nkey_sha256 = " + std::string(64, 'a') + "\n";
const std::string servers = "[backend_server a]\nfailure_domain = d1\nmodels = m\n"
                            "[backend_server b]\nfailure_domain = d2\nmodels = m\n";
const std::string route = "[route r]\nworkspace = w\nmodel = m\n";
const std::string base = tiers + workspace_key + "tier = high\nrequests_per_second = 10\n" + servers + route;

configuration::configuration parse(const std::string& text) {
    std::vector<settings::problem> problems;
    auto parsed = configuration::parse_intent(text, "intent", problems);
    for (const auto& problem : problems) {
        UNSCOPED_INFO(problem.to_string());
    }
    REQUIRE(problems.empty());
    return parsed;
}

bool has_line(const std::vector<std::string>& lines, const std::string& wanted) {
    for (const auto& line : lines) {
        UNSCOPED_INFO(line);
    }
    return std::ranges::find(lines, wanted) != lines.end();
}

std::string replace(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> warnings_for(const std::string& after,
                                      const std::vector<configuration::workspace_use>& use = {}) {
    return describe_warnings(parse(base), parse(after), use);
}

} // namespace

TEST_CASE("two intents that differ only in a comment have no differences", "[configuration]") {
    CHECK(describe_changes(parse(base), parse("; a comment\n" + base)).empty());
    CHECK(describe_warnings(parse(base), parse(base), {}).empty());
}

TEST_CASE("each change is described by one line", "[configuration]") {
    auto after = replace(base, "requests_per_second = 10", "requests_per_second = 25.5");
    after = replace(after, "[model m]\nversion = 1", "[model m]\nversion = 2");
    after = replace(after, "[backend_server b]\nfailure_domain = d2\nmodels = m\n", "");
    after += "[service s]\n";
    const auto lines = describe_changes(parse(base), parse(after));
    CHECK(has_line(lines, "change workspace w: requests per second from 10 to 25.5"));
    CHECK(has_line(lines, "change model m: version from 1 to 2"));
    CHECK(has_line(lines, "remove backend server b"));
    CHECK(has_line(lines, "add service s"));
    CHECK(lines.size() == 4);
}

TEST_CASE("a new order of routes and changed API keys are described", "[configuration]") {
    const std::string other = "[route q]\nworkspace = *\nmodel = m\nidempotent = no\n";
    const auto order = describe_changes(parse(base + other), parse(replace(base, route, other + route)));
    CHECK(has_line(order, "change the order of routes to q, r"));
    const auto keys = describe_changes(parse(base), parse(replace(base, "aaa", "bbb")));
    CHECK(has_line(keys, "change workspace w: 1 API keys added, 1 removed"));
}

TEST_CASE("a plan warns of removed capacity, lowered limits and lost access", "[configuration]") {
    // An operator makes a change and overlooks what depends on it; callers are then refused without anybody
    // noticing overnight. The plan must warn of this before it is confirmed.
    const auto drained = replace(base, "[backend_server b]\n", "[backend_server b]\ndrained = yes\n");
    CHECK(has_line(warnings_for(drained), "model m is left in a single failure domain, d1"));
    const auto no_server = warnings_for(replace(base, servers, ""));
    CHECK(has_line(no_server,
                   "model m is left without a backend server that takes work: its requests will be refused"));
    CHECK(has_line(no_server, "backend server a is removed without having been drained first"));
    CHECK(has_line(warnings_for(replace(base, route, "")),
                   "workspace w loses its last route: all its requests will be refused"));
    CHECK(has_line(warnings_for(replace(base, "requests_per_second = 10", "requests_per_second = 5")),
                   "workspace w: requests per second lowered from 10 to 5"));
    CHECK(has_line(warnings_for(base, {{"w", 12, 0, 0}}),
                   "workspace w: requests per second 10, under its present use of 12"));
    CHECK(has_line(warnings_for(replace(base, "tier = high", "tier = low")),
                   "workspace w moves to a lower tier, from high to low"));
    const auto no_tier = replace(replace(base, "[tier high]\nrank = 0\n", ""), "tier = high", "tier = low");
    CHECK(has_line(warnings_for(no_tier), "tier high is removed while in use by w"));
}

TEST_CASE("a drain changes one line of the intent and keeps all other lines", "[configuration]") {
    const std::string text = "; first\n[backend_server a]\n# note\nkind = engine\n[backend_server b]\n";
    CHECK(*configuration::set_drained(text, "a", true) ==
          "; first\n[backend_server a]\ndrained = yes\n# note\nkind = engine\n[backend_server b]\n");
    const auto twice = configuration::set_drained(*configuration::set_drained(text, "b", true), "b", false);
    CHECK(*twice == text + "drained = no\n");
    CHECK_FALSE(configuration::set_drained(text, "c", true));
}
