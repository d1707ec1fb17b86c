// How many heartbeats a member sends.
#include "coordination/heartbeat_schedule.hpp"

#include <catch2/catch.hpp>

using namespace borageford::coordination;

namespace {

int count_due(std::size_t members, heartbeat_receiver to) {
    constexpr int ticks = 400;
    heartbeat_schedule schedule;
    int due = 0;
    for (int tick = 0; tick < ticks; ++tick) {
        schedule.begin_tick(members);
        due += schedule.is_due(to) ? 1 : 0;
    }
    return due;
}

} // namespace

TEST_CASE("a coordinator of hundreds gets half of the heartbeats of each", "[coordination][heartbeats]") {
    // Guards against heartbeats that take all of a small coordinator's processor.
    CHECK(count_due(10, heartbeat_receiver::coordinator) == 400);
    CHECK(count_due(300, heartbeat_receiver::coordinator) == 200);
    CHECK(count_due(10, heartbeat_receiver::candidate) == 100);
    CHECK(count_due(300, heartbeat_receiver::candidate) == 50);
}

TEST_CASE("without a coordinator the next one is asked at every tick", "[coordination][heartbeats]") {
    CHECK(count_due(0, heartbeat_receiver::next) == 400);
    CHECK(count_due(300, heartbeat_receiver::next) == 400);
}

TEST_CASE("absent candidates are asked rarely, but often at the start", "[coordination][heartbeats]") {
    heartbeat_schedule schedule;
    schedule.begin_tick(3);
    CHECK(schedule.is_due(heartbeat_receiver::absent));
    CHECK(count_due(3, heartbeat_receiver::absent) < 50);
}
