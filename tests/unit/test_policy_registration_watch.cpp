// Tests of registration_watch and confirmation: whether an outage affected the store or only this process.
#include "policy/confirmation.hpp"
#include "policy/registration_watch.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

/// A process that had no connection to the store or to any other process for three seconds.
registration_watch make_cut_off() {
    registration_watch watch;
    for (const auto noted : {1s, 2s, 3s}) {
        watch.record_outage(start_time + noted, start_time);
    }
    return watch;
}

} // namespace

TEST_CASE("an outage of this process alone is recognised once messages of other processes arrive again",
          "[policy][registration_watch]") {
    // Guards against sending requests to servers that shut down while this process was disconnected from all
    // others.
    auto watch = make_cut_off();
    CHECK_FALSE(watch.should_remove("left meanwhile", start_time + 3s));
    watch.record_other_connected(start_time + 3200ms, 10s);
    CHECK(watch.take_expired(start_time + 3200ms) == std::vector<std::string>{"left meanwhile"});
    CHECK(watch.should_remove("left afterwards", start_time + 3300ms));
}

TEST_CASE("an outage that affected other processes too counts as an outage of the store",
          "[policy][registration_watch]") {
    // Guards against removing all servers whose registrations expired while the store was unavailable.
    auto watch = make_cut_off();
    CHECK_FALSE(watch.should_remove("expired", start_time + 3s));
    watch.record_other_connected(start_time + 3200ms, 200ms);
    CHECK(watch.take_expired(start_time + 3200ms).empty());
    CHECK_FALSE(watch.should_remove("expired too", start_time + 3300ms));
}

TEST_CASE("a message sent before the end of an outage doesn't end its retention",
          "[policy][registration_watch]") {
    // Guards against messages that were sent before the store became unavailable and are read only later.
    auto watch = make_cut_off();
    watch.record_other_connected(start_time + 3010ms, 10s);
    CHECK_FALSE(watch.should_remove("expired", start_time + 3100ms));
}

TEST_CASE("a later outage of this process alone doesn't end the retention for an outage of the store",
          "[policy][registration_watch]") {
    auto watch = make_cut_off();
    CHECK_FALSE(watch.should_remove("expired", start_time + 3s));
    watch.record_outage(start_time + 4s, start_time + 3500ms);
    watch.record_other_connected(start_time + 4200ms, 1s);
    CHECK(watch.take_expired(start_time + 4200ms).empty());
    CHECK_FALSE(watch.should_remove("expired too", start_time + 4300ms));
}

TEST_CASE("a registration that vanishes late after an outage isn't retained longer than the others",
          "[policy][registration_watch]") {
    // Guards against sending requests to a server that has left while the process was cut off alone.
    auto watch = make_cut_off();
    CHECK_FALSE(watch.should_remove("left", start_time + 5s));
    CHECK(watch.take_expired(start_time + 5200ms).empty());
    CHECK(watch.take_expired(start_time + 5300ms) == std::vector<std::string>{"left"});
}

TEST_CASE("a registration is retained as long after the last outage as after the first",
          "[policy][registration_watch]") {
    // Guards against removing all servers when the store fails again before they have registered.
    auto watch = make_cut_off();
    CHECK_FALSE(watch.should_remove("expired", start_time + 3100ms));
    watch.record_outage(start_time + 5s, start_time + 4s);
    CHECK(watch.take_expired(start_time + 5500ms).empty());
    CHECK(watch.take_expired(start_time + 7300ms) == std::vector<std::string>{"expired"});
}

TEST_CASE("the time without interruption starts again with the next answer after a failure or a gap",
          "[policy][confirmation]") {
    // Guards against announcing an uninterrupted connection to the store that did have an interruption.
    constexpr duration longest_gap = 2s;
    confirmation held(start_time, longest_gap);
    held.record_answer({1, 1000}, start_time + 1s);
    CHECK(held.unbroken(start_time + 2s) == 2s);
    CHECK(held.unbroken(start_time + 4s) == 0s); // the next confirmation is overdue
    held.record_announcement({1, 5000}, start_time + 5s);
    CHECK(held.unbroken(start_time + 6s) == 1s);
    held.record_failure(start_time + 6500ms);
    held.record_answer({1, 7000}, start_time + 7s);
    CHECK(held.unbroken(start_time + 7s) == 500ms);
}
