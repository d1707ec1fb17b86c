// Tests of slot_floor, alone and within slot_scheduler, under loads where a strict order of tiers would
// starve the lowest ones.
#include "policy/slot_floor.hpp"
#include "support/slot_load.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

/// Twice the load that four engines with nine slots each can handle. Expensive requests of the two highest
/// tiers are nearly all of it.
const std::vector<tier_load> heavy_load{{0, 30, 1400ms}, {1, 40, 1100ms}, {2, 40, 120ms}};

slot_scheduler_limits without_floor() {
    slot_scheduler_limits limits;
    limits.floor.share = 0;
    return limits;
}

} // namespace

TEST_CASE("cheap requests of the lowest tier aren't starved by expensive ones of higher tiers",
          "[policy][slot_floor]") {
    // Under sustained load, the higher tiers take every slot that comes free. All requests of the lowest tier
    // together need only a tenth of the slots, yet they were all refused for half a minute.
    slot_load strict(without_floor(), {{4, 9}});
    strict.run(heavy_load, 20s);
    CHECK(strict.result(2).share() < 0.1);
    slot_load guaranteed({}, {{4, 9}});
    guaranteed.run(heavy_load, 20s);
    CHECK(guaranteed.result(2).share() > 0.5);
    // The lowest tier gets its minimum share and no more, and the highest tier still goes before the middle
    // one.
    CHECK(guaranteed.slot_share(2) < 0.1);
    CHECK(guaranteed.result(0).share() > guaranteed.result(1).share());
    // The minimum shares together take at most a quarter of the slots.
    CHECK(guaranteed.result(0).share() >= 0.75 * strict.result(0).share());
}

TEST_CASE("a process with a share of all slots guarantees the minimum shares too", "[policy][slot_floor]") {
    // Without a coordinator, each of five gateways grants its own share of every server's slots.
    slot_scheduler_limits limits;
    limits.share = 0.2;
    auto load = heavy_load;
    for (auto& tier : load) {
        tier.per_second /= 5;
    }
    slot_load shared(limits, {{4, 9}});
    shared.run(load, 20s);
    CHECK(shared.result(2).share() > 0.5);
    CHECK(shared.result(0).share() > shared.result(1).share());
}

TEST_CASE("a new coordinator guarantees the minimum shares from its first decision on",
          "[policy][slot_floor]") {
    // A new coordinator learns the running requests from the members, but not the slot time that was granted
    // before.
    slot_load load({}, {{4, 9}});
    load.run(heavy_load, 5s);
    for (int change = 0; change < 5; ++change) {
        load.clear_results();
        load.change_coordinator();
        load.run(heavy_load, 2s);
        CHECK(load.result(2).share() > 0.4);
        CHECK(load.result(0).share() > 0.2);
    }
}

TEST_CASE("with many tiers, each one below the highest gets some slots, and all together a bounded share",
          "[policy][slot_floor]") {
    std::vector<tier_load> load{{0, 60, 1400ms}};
    for (int tier = 1; tier < 8; ++tier) {
        load.push_back({tier, 10, 200ms});
    }
    slot_load many({}, {{4, 9}});
    many.run(load, 20s);
    double lower = 0;
    for (int tier = 1; tier < 8; ++tier) {
        CAPTURE(tier);
        CHECK(many.result(tier).served > 0);
        CHECK(many.slot_share(tier) > 0.01);
        lower += many.slot_share(tier);
    }
    CHECK(lower < 0.35);
}

TEST_CASE("without overload, requests of all tiers are served", "[policy][slot_floor]") {
    slot_load calm({}, {{4, 9}});
    calm.run({{0, 10, 1400ms}, {1, 5, 1100ms}, {2, 20, 120ms}}, 10s);
    CHECK(calm.result(0).share() > 0.95);
    CHECK(calm.result(1).share() > 0.95);
    CHECK(calm.result(2).share() > 0.95);
}

TEST_CASE("a tier may be granted slots first until it has its minimum share", "[policy][slot_floor]") {
    slot_floor floor({0.1, 0.25});
    for (int index = 0; index < 40; ++index) {
        floor.begin(0, start_time);
    }
    const auto later = start_time + 4s;
    CHECK(floor.share(0, later) == Approx(1));
    CHECK(floor.slots_below_minimum(1, 1, later) == 8); // twice its share, so that it catches up
    for (int index = 0; index < 8; ++index) {
        floor.begin(1, later);
    }
    CHECK(floor.slots_below_minimum(1, 1, later) <= 1); // the slots just granted count at once
    CHECK(floor.slots_below_minimum(1, 1, later + 10s) == 0);
    for (int index = 0; index < 8; ++index) {
        floor.end(1, later + 10s);
    }
    CHECK(floor.slots_below_minimum(1, 1, later + 30s) > 0);
    CHECK(floor.slots_below_minimum(1, 100, later + 30s) <= 1); // 100 tiers divide share_of_all between them
}
