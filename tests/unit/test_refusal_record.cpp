// Tests of the count of requests that ran though they had been refused.
#include "emulator/refusal_record.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::emulator;
using namespace std::chrono_literals;

namespace {

const policy::time_point begin = policy::time_point{} + 1h;

constexpr auto refused = arrival_result::refused;
constexpr auto ran = arrival_result::taken;

} // namespace

TEST_CASE("a request that ran after its refusal on the same connection is told from others", "[refusals]") {
    const std::vector<recorded_arrival> first{
        {"twice", begin, 1, refused}, {"twice", begin + 1ms, 1, ran}, {"sound", begin, 2, refused}};
    const std::vector<recorded_arrival> second{
        {"twice", begin + 2ms, 1, ran}, {"sound", begin + 1ms, 1, ran}, {"told", begin, 2, ran}};
    const std::vector<server_arrivals> servers{first, second};
    const auto counts = count_refusals(servers, {"twice", "sound", "told"}, {"told"});
    CHECK(counts.refused == 2);
    CHECK(counts.returned_to_server == 1);
    CHECK(counts.returned_on_connection == 1);
    CHECK(counts.ran_twice == 1);
    CHECK(counts.ran_though_refused == 1);
    CHECK(counts.broken_refused_first == 1);
    CHECK(counts.broken_on_connection == 1);
    CHECK(counts.broken_ids == std::vector<std::string>{"told", "twice"});
}

TEST_CASE("requests that may run again, and refusals that are true, break nothing", "[refusals]") {
    const std::vector<recorded_arrival> arrivals{
        {"again", begin, 1, ran}, {"again", begin + 1ms, 2, ran}, {"told", begin, 3, refused}};
    const std::vector<server_arrivals> servers{arrivals};
    const auto counts = count_refusals(servers, {"told"}, {"told", "again"});
    CHECK(counts.broken() == 0);
    CHECK(counts.returned_to_server == 0);
}
