// One test for each fault that fuzzing, or an input that was tried by hand, has found.
#include "settings/ini_document.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford;

TEST_CASE("a file of very many sections is parsed in linear time", "[fuzz]") {
    // The parser compared each section's title with all earlier titles: a generated file of one megabyte took
    // ten seconds, in which the entry's thread served no requests. With that parser this file would take
    // minutes and exceed the CTest timeout.
    constexpr int sections = 200'000;
    std::string text;
    for (int index = 0; index < sections; ++index) {
        text += "[s " + std::to_string(index) + "]\n";
    }
    std::vector<settings::problem> problems;
    CHECK(settings::parse_ini(text, "fuzz", problems).sections.size() == sections);
    CHECK(problems.empty());
}

TEST_CASE("a section of very many keys is parsed in linear time", "[fuzz]") {
    constexpr int keys = 200'000;
    std::string text = "[s]\n";
    for (int index = 0; index < keys; ++index) {
        text += "k" + std::to_string(index) + "=\n";
    }
    std::vector<settings::problem> problems;
    const auto document = settings::parse_ini(text, "fuzz", problems);
    REQUIRE(document.sections.size() == 1);
    CHECK(document.sections.front().entries.size() == keys);
    CHECK(problems.empty());
}

TEST_CASE("duplicate titles and keys are reported as problems", "[fuzz]") {
    std::vector<settings::problem> problems;
    std::ignore = settings::parse_ini("[a b]\nk = 1\nk = 2\n[c]\nk = 1\n[a  b]\nk = 3\n", "fuzz", problems);
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].line == 3);
    CHECK(problems[1].line == 6);
}
