// Tests of the table of servers that leave, and of the field with which they say so.
#include "platform/departure_codec.hpp"
#include "policy/departure_table.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

using namespace borageford;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start = time_point{} + 1000h;

} // namespace

TEST_CASE("a departure is news once", "[policy][departures]") {
    departure_table table;
    CHECK(table.add({1, start, 7}, start));
    CHECK_FALSE(table.add({1, start + 1s, 8}, start + 1s));
    CHECK(table.contains(1));
    CHECK_FALSE(table.contains(2));
    CHECK(table.latest().front().heard_by == 7);
}

TEST_CASE("a departure is forgotten when the server is long gone", "[policy][departures]") {
    departure_table table;
    CHECK(table.add({1, start, 7}, start));
    CHECK(table.add({2, start + 61min, 7}, start + 61min));
    CHECK_FALSE(table.contains(1));
    CHECK_FALSE(table.add({1, start, 7}, start + 61min)); // still told by a process that hasn't forgotten it
}

TEST_CASE("the departures that were heard last are sent first, in one datagram", "[policy][departures]") {
    departure_table table;
    for (server_key server = 1; server <= 100; ++server) {
        CHECK(table.add({server, start + server * 1s, 7}, start + 100s));
    }
    const auto sent = table.latest();
    CHECK(sent.size() == 64);
    CHECK(sent.front().server == 100);
}

TEST_CASE("only one value says that a server leaves", "[platform][departures]") {
    CHECK_NOTHROW(platform::decode_departure("1"));
    for (const std::string value : {"", "0", "2", "11", " 1", "1 ", "true", "-1"}) {
        CHECK_THROWS_AS(platform::decode_departure(value), std::invalid_argument);
    }
}
