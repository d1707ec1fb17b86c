// Tests of the numbers that callers state in header fields.
#include "base/parse_number.hpp"
#include "gateway/stated_tokens.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string_view>

using borageford::parse_number;
using namespace borageford::gateway;

TEST_CASE("stated token counts that are no counts are ignored", "[gateway][stated_tokens]") {
    // A caller stated a negative maximum of the output. It was added to the prompt's tokens, so a request of
    // a thousand tokens took one token of its workspace's quota.
    for (const std::string_view text : {"", ",", "1000,-999", "-5", "-5,10", "10,", ",10", "10,x", "10,5x",
                                        "1e3", "10,5,5", " 10", "99999999999999999999,1", "nan,1"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_tokens(text).has_value());
    }
}

TEST_CASE("stated token counts are the prompt's and the maximum of the output", "[gateway][stated_tokens]") {
    const auto both = parse_tokens("1460,80");
    REQUIRE(both.has_value());
    CHECK(both->prompt == 1460);
    CHECK(both->max_output == 80);
    const auto prompt_only = parse_tokens("1460");
    REQUIRE(prompt_only.has_value());
    CHECK(prompt_only->prompt == 1460);
    CHECK(prompt_only->max_output == 0);
}

TEST_CASE("a stated number with trailing text isn't read as the number in front of it",
          "[gateway][stated_tokens]") {
    CHECK(parse_number<std::int64_t>("600") == 600);
    CHECK(parse_number<std::int64_t>("-3") == -3);
    for (const std::string_view text : {"", "600ms", "6e2", "+600", "0x10", "600 "}) {
        CAPTURE(text);
        CHECK_FALSE(parse_number<std::int64_t>(text).has_value());
    }
}
