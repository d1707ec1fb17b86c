// Tests of slot_turnover: how long one more request would wait inside a server for a slot.
#include "policy/slot_turnover.hpp"

#include <catch2/catch.hpp>

using namespace borageford::policy;
using namespace std::chrono_literals;

TEST_CASE("the expected wait grows with the number of requests beyond a server's slots",
          "[policy][slot_turnover]") {
    slot_turnover turnover;
    CHECK(turnover.wait(9, 4) == duration::zero()); // no request was recorded yet
    for (int index = 0; index < 100; ++index) {
        turnover.learn(2s, 4);
    }
    CHECK(turnover.wait(3, 4) == duration::zero());
    CHECK(to_seconds(turnover.wait(4, 4)) == Approx(0.5));
    CHECK(to_seconds(turnover.wait(5, 4)) == Approx(1));
    // The requests become shorter, and the estimate follows.
    for (int index = 0; index < 100; ++index) {
        turnover.learn(100ms, 4);
    }
    CHECK(to_seconds(turnover.wait(4, 4)) == Approx(0.025).margin(0.001));
    turnover.learn(0ms, 4);
    turnover.learn(1s, 0);
    CHECK(to_seconds(turnover.wait(4, 4)) == Approx(0.025).margin(0.001));
}
