// Tests of heartbeat_schedule: how many heartbeats a member sends to each kind of receiver.
#include "coordination/heartbeat_schedule.hpp"

#include <catch2/catch.hpp>

using namespace borageford::coordination;

namespace {

/// Heartbeats that are sent to one receiver in 400 ticks, with this number of members.
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

TEST_CASE("with hundreds of members each sends its coordinator half of the heartbeats",
          "[coordination][heartbeats]") {
    // Heartbeats of hundreds of members at every tick used up the processor of a small coordinator.
    CHECK(count_due(10, heartbeat_receiver::coordinator) == 400);
    CHECK(count_due(300, heartbeat_receiver::coordinator) == 200);
    CHECK(count_due(10, heartbeat_receiver::candidate) == 100);
    CHECK(count_due(300, heartbeat_receiver::candidate) == 50);
}

TEST_CASE("without a coordinator the possible next ones get a heartbeat at every tick",
          "[coordination][heartbeats]") {
    CHECK(count_due(0, heartbeat_receiver::next) == 400);
    CHECK(count_due(300, heartbeat_receiver::next) == 400);
}

TEST_CASE("absent candidates get few heartbeats, except at the start", "[coordination][heartbeats]") {
    heartbeat_schedule schedule;
    schedule.begin_tick(3);
    CHECK(schedule.is_due(heartbeat_receiver::absent));
    CHECK(count_due(3, heartbeat_receiver::absent) < 50);
}
