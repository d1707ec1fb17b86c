// Tests of the count of requests at an emulated server that names rate limits.
#include "emulator/rate_limit_excess.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <vector>

using namespace borageford;
using namespace borageford::emulator;
using namespace std::chrono_literals;

namespace {

const policy::time_point begin = policy::time_point{} + 1h;

/// `per_second` arrivals in each second of a span.
std::vector<policy::time_point> arrive(std::chrono::seconds from, std::chrono::seconds to, int per_second) {
    std::vector<policy::time_point> result;
    for (auto at = begin + from; at < begin + to; at += std::chrono::milliseconds(1000 / per_second)) {
        result.push_back(at);
    }
    return result;
}

} // namespace

TEST_CASE("requests beyond a named limit are found in the worst window", "[rate_limit]") {
    const std::vector<named_limit> named{{begin, 1.0}};
    const auto kept = find_worst_window(arrive(0s, 20s, 2), named);
    REQUIRE(kept);
    CHECK(kept->allowed == 11);
    CHECK(kept->requests == 8);
    const auto broken = find_worst_window(arrive(0s, 20s, 5), named);
    REQUIRE(broken);
    CHECK(broken->requests == 20);
    CHECK(broken->excess() == Approx(9));
}

TEST_CASE("windows before a limit settles, around its end and without a limit don't count", "[rate_limit]") {
    CHECK_FALSE(find_worst_window(arrive(0s, 20s, 5), {}));
    const std::vector<named_limit> late{{begin + 18s, 1.0}};
    CHECK_FALSE(find_worst_window(arrive(0s, 20s, 5), late));
    const std::vector<named_limit> ended{{begin, 1.0}, {begin + 6s, std::nullopt}};
    CHECK_FALSE(find_worst_window(arrive(3s, 20s, 5), ended));
}

TEST_CASE("a window counts with the largest limit in it or shortly before it", "[rate_limit]") {
    const std::vector<named_limit> falling{{begin, 10.0}, {begin + 10s, 1.0}};
    const auto while_falling = find_worst_window(arrive(11s, 13s, 10), falling);
    REQUIRE(while_falling);
    CHECK(while_falling->allowed == 65);
    const auto settled = find_worst_window(arrive(14s, 20s, 10), falling);
    REQUIRE(settled);
    CHECK(settled->allowed == 11);
    CHECK(settled->requests == 40);
}

TEST_CASE("an excused window doesn't count", "[rate_limit]") {
    const std::vector<named_limit> named{{begin, 1.0}};
    const auto excuse = [](policy::time_point from, policy::time_point to) {
        return from < begin + 11s && to > begin + 10s;
    };
    CHECK_FALSE(find_worst_window(arrive(10s, 11s, 10), named, {}, excuse));
    CHECK(find_worst_window(arrive(12s, 13s, 10), named, {}, excuse));
}
