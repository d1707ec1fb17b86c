// Tests of the count of retries that reach emulated servers.
#include "emulator/retry_excess.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::emulator;
using namespace std::chrono_literals;

namespace {

const policy::time_point begin = policy::time_point{} + 1h;

} // namespace

TEST_CASE("arrivals beyond the first of their request are found in the worst window", "[retry_budget]") {
    std::vector<recorded_arrival> arrivals;
    std::vector<policy::time_point> sent;
    for (int number = 0; number < 20; ++number) {
        const auto at = begin + number * 1s;
        sent.push_back(at);
        for (int copy = 0; copy < (number < 10 ? 1 : 3); ++copy) {
            arrivals.push_back({std::to_string(number), at + copy * 1ms});
        }
    }
    const auto worst = find_worst_retry_window(arrivals, sent, {.ratio = 0.2, .reserve = 15});
    REQUIRE(worst.has_value());
    CHECK(worst->retries == 20);
    CHECK(worst->allowed == Approx(0.2 * 9 + 15)); // the first call was sent 1 ms before its first retry
    CHECK(worst->excess() > 0);
}

TEST_CASE("a call that arrives once has no retry, also when it arrives late", "[retry_budget]") {
    CHECK_FALSE(find_worst_retry_window({{"a", begin + 30s}, {"b", begin}}, {begin, begin}, {}).has_value());
}
