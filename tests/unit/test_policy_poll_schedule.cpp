// Tests of poll_schedule (when a gateway polls the store again) and of confirmation (which confirmations
// count).
#include "policy/confirmation.hpp"
#include "policy/open_poll.hpp"
#include "policy/poll_schedule.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;
constexpr duration limit = 2s;
constexpr duration longest_way = 200ms; ///< longest delay of a confirmation to all other gateways

} // namespace

TEST_CASE("the polls of one confirming gateway make polls by other gateways unnecessary",
          "[policy][poll_schedule]") {
    const poll_schedule schedule(limit, 0);
    const auto confirmed_every = schedule.wait(poll_role::confirmer, 0s);
    CHECK_FALSE(schedule.is_stale(poll_role::confirmer, confirmed_every));
    for (const double draw : {0.0, 0.5, 0.99}) {
        const poll_schedule other(limit, draw);
        CHECK_FALSE(other.is_stale(poll_role::poller, confirmed_every + longest_way));
        CHECK(other.wait(poll_role::poller, confirmed_every) >= 10 * limit);
    }
}

TEST_CASE("a poll after a confirmation that is too old isn't held open", "[policy][poll_schedule]") {
    // Guards against long polls in an outage, in which the store may lose the poll as well.
    for (const auto role : {poll_role::confirmer, poll_role::poller, poll_role::fallback}) {
        const poll_schedule schedule(limit, 0.5);
        CHECK(schedule.is_stale(role, limit + limit / 4));
        CHECK(schedule.wait(role, limit + limit / 4) == 0s);
    }
}

TEST_CASE("no poll is held open for longer than the store accepts", "[policy][poll_schedule]") {
    // The store refuses polls that ask it to wait for more than 30 s. Guards against a coordinator whose
    // polls are all refused when the change limit is set to minutes.
    const poll_schedule schedule(1h, 0.5);
    for (const auto role : {poll_role::confirmer, poll_role::poller, poll_role::fallback}) {
        CHECK(schedule.wait(role, 0s) <= 30s);
    }
}

TEST_CASE("a lost poll is repeated within one and a half times the limit", "[policy][poll_schedule]") {
    // Guards against learning of a change too late when the store became unresponsive shortly after an
    // answer.
    for (const double draw : {0.0, 0.5, 0.99}) {
        const poll_schedule schedule(limit, draw);
        CHECK(schedule.is_stale(poll_role::poller, limit + limit / 2));
        CHECK(schedule.repeat_delay(poll_role::poller) <= limit / 2);
    }
}

TEST_CASE("gateways don't all poll an unresponsive store again at the same moment",
          "[policy][poll_schedule]") {
    const poll_schedule first(limit, 0.1);
    const poll_schedule second(limit, 0.9);
    const auto between = limit * 17 / 20 + limit / 8;
    CHECK(first.is_stale(poll_role::fallback, between));
    CHECK_FALSE(second.is_stale(poll_role::fallback, between));
    const auto between_pollers = limit * 61 / 100;
    CHECK(first.is_stale(poll_role::poller, between_pollers));
    CHECK_FALSE(second.is_stale(poll_role::poller, between_pollers));
    for (const auto role : {poll_role::poller, poll_role::fallback}) {
        CHECK(first.repeat_delay(role) < second.repeat_delay(role));
    }
}

TEST_CASE("losing the gateway that confirms doesn't look like an interruption of the store",
          "[policy][poll_schedule]") {
    // The confirming gateway was cut off, or the store answers all gateways but it. The store answered the
    // others all the time, but their polls came so late that they counted the time before as an interruption.
    // A server that shut down soon afterwards was retained, and requests were sent to it.
    constexpr duration answer_time = 20ms;
    for (const auto change_limit : {duration(500ms), duration(2s), duration(4s)}) {
        for (const double draw : {0.0, 0.5, 0.99}) {
            const poll_schedule schedule(change_limit, draw);
            for (const auto role : {poll_role::confirmer, poll_role::poller}) {
                auto age = duration::zero();
                while (!schedule.is_stale(role, age)) {
                    age += schedule.check_period();
                }
                CHECK(age + answer_time <= schedule.longest_gap());
            }
        }
    }
}

TEST_CASE("a poll that the store leaves unanswered is overdue", "[policy][poll_schedule]") {
    // Guards against missing an outage because the poll is sent again and again, each time with a new limit.
    open_poll poll(start_time);
    poll.record_sent(start_time, 20s);
    poll.record_sent(start_time + 1s, 400ms);
    CHECK_FALSE(poll.is_overdue(start_time + 1300ms));
    poll.record_sent(start_time + 1300ms, 400ms);
    CHECK(poll.is_overdue(start_time + 1400ms));
    CHECK(poll.time_since_sent(start_time + 1400ms) == 100ms);
    CHECK(poll.age(start_time + 1400ms) == 1400ms);
}

TEST_CASE("a confirmation that gateways pass around doesn't count again", "[policy][confirmation]") {
    // Guards against gateways that confirm each other's copies although the store answers none of them.
    constexpr store_moment first{1, 1000};
    std::vector<confirmation> gateways(3, confirmation(start_time));
    gateways.front().record_answer(first, start_time);
    auto now = start_time;
    for (int round = 0; round < 1000; ++round) {
        for (std::size_t teller = 0; teller < gateways.size(); ++teller) {
            now += 5ms;
            gateways[(teller + 1) % gateways.size()].record_announcement(
                gateways[teller].recent_confirmation(now), now);
        }
    }
    for (const auto& gateway : gateways) {
        CHECK(gateway.recent_confirmation(now) == store_moment{});
        CHECK(gateway.age(now) > 10s);
    }
}

TEST_CASE("a confirmation is announced in a few heartbeats and not in every message",
          "[policy][confirmation]") {
    // Guards against regular heartbeats that exceed the traffic a gateway may use for them.
    confirmation held(start_time);
    held.record_answer({1, 1000}, start_time);
    CHECK(held.recent_confirmation(start_time + 200ms) == store_moment{1, 1000});
    CHECK(held.recent_confirmation(start_time + 1s) == store_moment{});
}

TEST_CASE("an answer of the store itself counts whatever its clock says", "[policy][confirmation]") {
    // Guards against ignoring the answers of a store that was replaced and whose clock starts anew.
    confirmation held(start_time);
    held.record_answer({1, 1000}, start_time);
    held.record_answer({1, 5}, start_time + 10s);
    CHECK(held.age(start_time + 10s) == 0s);
    CHECK(held.recent_confirmation(start_time + 10s) == store_moment{1, 1000});
    held.record_announcement({1, 900}, start_time + 20s);
    CHECK(held.age(start_time + 20s) == 10s);
}

TEST_CASE("a confirmation of a newer era counts whatever the clock says", "[policy][confirmation]") {
    // Guards against every gateway polling for itself until the clock of a restored store has caught up.
    confirmation held(start_time);
    held.record_answer({1, 1000}, start_time);
    held.record_announcement({2, 5}, start_time + 10s);
    CHECK(held.age(start_time + 10s) == 0s);
    held.record_announcement({1, 2000}, start_time + 20s);
    CHECK(held.age(start_time + 20s) == 10s);
}
