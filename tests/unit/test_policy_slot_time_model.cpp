// Tests of slot_time_model: how long a request is expected to occupy a slot.
#include "policy/slot_time_model.hpp"

#include <catch2/catch.hpp>

using namespace borageford::policy;
using namespace std::chrono_literals;

TEST_CASE("the expected slot time of a tier is learned from its own requests", "[policy][slot_time_model]") {
    constexpr service_key engines = 1;
    constexpr service_key other_service = 2;
    slot_time_model model;
    CHECK(model.expect(engines, 0) == duration::zero());
    model.learn(engines, 0, 200ms);
    model.learn(engines, 2, 1400ms);
    CHECK(model.expect(engines, 0) == 200ms);
    CHECK(model.expect(engines, 2) == 1400ms);
    CHECK(to_seconds(model.expect(engines, 1)) == Approx(0.8));
    CHECK(model.expect(other_service, 0) == duration::zero());
    for (int request = 0; request < 500; ++request) {
        model.learn(engines, 0, 400ms);
    }
    CHECK(to_seconds(model.expect(engines, 0)) == Approx(0.4).margin(0.01));
}
