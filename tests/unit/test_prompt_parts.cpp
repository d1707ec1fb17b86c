// Tests of the field that names the parts of a request's prompt.
#include "gateway/prompt_parts.hpp"

#include <catch2/catch.hpp>

#include <string>

using borageford::gateway::max_shared_parts;
using borageford::gateway::parse_shared_parts;

TEST_CASE("all parts of a prompt but the last are shared, each once", "[gateway][prompt_parts]") {
    const auto parts = parse_shared_parts("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    REQUIRE(parts.has_value());
    CHECK(parts->size() == 2);
    CHECK(parse_shared_parts("5C1E07A2:1,91BD3F06:2,0:3") == parts);
    CHECK(parse_shared_parts("5c1e07a2:1,91bd3f06:2,5c1e07a2:1,e4402b7d:3") == parts);
    CHECK(parse_shared_parts("e4402b7d:250")->empty());
    CHECK(parse_shared_parts("")->empty());
}

TEST_CASE("a list of parts that can't be read names none", "[gateway][prompt_parts]") {
    for (const std::string text :
         {"5c1e07a2", "5c1e07a2:", ":800", "5c1e07a2:-1,0:1", "5c1e07a2:x,0:1", "5g:1,0:1", "5c:1,,0:1",
          "5c:1,0:1,", ",5c:1", "5c:1 ,0:1", "5c:1.5,0:1", "5c:99999999999999999999999,0:1"}) {
        CHECK_FALSE(parse_shared_parts(text).has_value());
    }
    CHECK_FALSE(parse_shared_parts(std::string(64 * 1024, 'a') + ":1,0:1").has_value());
}

TEST_CASE("of very many parts the first ones are looked at", "[gateway][prompt_parts]") {
    std::string text;
    for (int index = 0; index < 1000; ++index) {
        text += std::to_string(index) + ":1,";
    }
    const auto parts = parse_shared_parts(text + "ff:1");
    REQUIRE(parts.has_value());
    CHECK(parts->size() == max_shared_parts);
    CHECK(parts->front() == parse_shared_parts("0:1,ff:1")->front());
}
