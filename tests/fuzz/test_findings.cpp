// What the mutation runs and the inputs tried beside them have found, one case each.
#include "settings/ini_document.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford;

TEST_CASE("a file of very many sections is read in one go", "[fuzz]") {
    // A generated intent has a section more for every line. The reader compared each title with all before
    // it: ten seconds for a megabyte, in which an entry's thread served nobody. The CTest timeout is the
    // guard; read as it was, this file takes minutes.
    constexpr int sections = 200'000;
    std::string text;
    for (int index = 0; index < sections; ++index) {
        text += "[s " + std::to_string(index) + "]\n";
    }
    std::vector<settings::problem> problems;
    CHECK(settings::parse_ini(text, "fuzz", problems).sections.size() == sections);
    CHECK(problems.empty());
}

TEST_CASE("a section of very many keys is read in one go", "[fuzz]") {
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

TEST_CASE("titles and keys that stand twice are still complained about", "[fuzz]") {
    std::vector<settings::problem> problems;
    std::ignore = settings::parse_ini("[a b]\nk = 1\nk = 2\n[c]\nk = 1\n[a  b]\nk = 3\n", "fuzz", problems);
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].line == 3);
    CHECK(problems[1].line == 6);
}
