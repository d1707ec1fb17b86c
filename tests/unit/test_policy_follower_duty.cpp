// Who asks the store, and who is told by others.
#include "policy/coordinator_election.hpp"
#include "policy/follower_duty.hpp"
#include "policy/registration_watch.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

} // namespace

TEST_CASE("of hundreds of gateways some ask the store", "[policy][follower_duty]") {
    // Each change of a server used to cost a call for each gateway, and an outage some calls a second for
    // each.
    constexpr member_key members = 300;
    int candidates = 0;
    int followers = 0;
    for (member_key self = 1; self <= members; ++self) {
        coordinator_election election(self, 0.2, {}, start_time);
        for (member_key other = 1; other <= members; ++other) {
            election.hear(other, {0.2, other == 1, true, false}, start_time);
        }
        const bool is_candidate = election.is_candidate(start_time);
        candidates += is_candidate ? 1 : 0;
        follower_choice choice(12, static_cast<double>(self - 1) / members);
        choice.hear_follower(start_time);
        followers += choice.choose(is_candidate, members, start_time) == follower_duty::follow ? 1 : 0;
    }
    CHECK(candidates == 3);
    // The store may answer none of the candidates any more, without a word: others must be asking too.
    CHECK(followers >= 12);
    CHECK(followers <= 15);
}

TEST_CASE("of a few gateways each asks the store, and so does one that doesn't know how many there are",
          "[policy][follower_duty]") {
    follower_choice choice(12, 0.99);
    choice.hear_follower(start_time);
    CHECK(choice.choose(false, 12, start_time) == follower_duty::follow);
    CHECK(choice.choose(false, 0, start_time) == follower_duty::follow);
    CHECK(choice.choose(false, 13, start_time) == follower_duty::rely);
}

TEST_CASE("a gateway asks the store itself once nobody is heard whom it answers", "[policy][follower_duty]") {
    // Those that ask are cut off, or the store turns just them away. The others would never hear of a server
    // that leaves.
    constexpr std::size_t members = 300;
    follower_choice choice(12, 0.5);
    CHECK(choice.choose(false, members, start_time) == follower_duty::stand_by);
    choice.hear_follower(start_time);
    CHECK(choice.choose(false, members, start_time + 500ms) == follower_duty::rely);
    CHECK(choice.choose(true, members, start_time + 500ms) == follower_duty::follow);
    CHECK(choice.choose(false, members, start_time + 2s) == follower_duty::stand_by);
}

TEST_CASE("a server that another gateway misses is given up here too", "[policy][registration_watch]") {
    // Its registration vanished in an outage, and it didn't come back. The gateway that asks the store waits
    // for it and then gives it up, which is no change that the store would tell of.
    registration_watch watch;
    watch.note_missed("server", start_time);
    CHECK(watch.missed() == std::vector<std::string>{"server"});
    CHECK(watch.take_expired(start_time + 1s).empty());
    CHECK(watch.take_expired(start_time + 3s) == std::vector<std::string>{"server"});
}
