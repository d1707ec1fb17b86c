// The ledger's promises: an id begins once, a tombstone holds, and nothing forgotten is called "not begun".
#include "ledger/dispatch_ledger.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::ledger;
using namespace std::chrono_literals;

namespace {

constexpr dispatch_id some_dispatch{1, 1};
const time_point begin = time_point{} + 1h;

void grant_one(dispatch_ledger& ledger, dispatch_id dispatch, time_point lapse) {
    REQUIRE(ledger.take_offer(dispatch) == offer_result::taken);
    REQUIRE(ledger.grant(dispatch, lapse));
}

} // namespace

TEST_CASE("a granted dispatch begins once", "[ledger]") {
    // An old connection that had gone silent delivers a copy of a start. Were it run again, a kudos would be
    // counted twice.
    dispatch_ledger ledger({});
    grant_one(ledger, some_dispatch, begin + 1s);
    CHECK(ledger.start(some_dispatch, begin) == start_result::begun);
    CHECK(ledger.start(some_dispatch, begin) == start_result::already_started);
    CHECK(ledger.withdraw(some_dispatch, begin) == withdraw_result::already_started);
    ledger.finish(some_dispatch, begin);
    CHECK(ledger.start(some_dispatch, begin) == start_result::already_started);
    CHECK(ledger.take_offer(some_dispatch) == offer_result::tombstoned);
    CHECK(ledger.attach(some_dispatch, 1s, begin) == attach_result::finished);
}

TEST_CASE("a start without a standing grant is not begun, for good", "[ledger]") {
    // An entry was frozen after it got a grant and wakes past the lease; meanwhile its caller was told that
    // the request didn't run.
    dispatch_ledger ledger({});
    grant_one(ledger, some_dispatch, begin + 1s);
    CHECK(ledger.start(some_dispatch, begin + 1s) == start_result::not_begun);
    CHECK_FALSE(ledger.grant(some_dispatch, begin + 2s));
    CHECK(ledger.start(some_dispatch, begin) == start_result::not_begun);
    CHECK(ledger.attach(some_dispatch, 1s, begin) == attach_result::not_begun);
}

TEST_CASE("only grants whose time is over lapse", "[ledger]") {
    dispatch_ledger ledger({});
    constexpr dispatch_id started{2, 2};
    constexpr dispatch_id waiting{3, 3};
    grant_one(ledger, some_dispatch, begin + 1s);
    grant_one(ledger, started, begin + 1s);
    grant_one(ledger, waiting, begin + 2s);
    REQUIRE(ledger.start(started, begin) == start_result::begun);
    CHECK(ledger.lapse_grants(begin).empty());
    CHECK(ledger.lapse_grants(begin + 1s) == std::vector{some_dispatch});
    CHECK(ledger.start(some_dispatch, begin) == start_result::not_begun);
    CHECK(ledger.start(waiting, begin) == start_result::begun);
}

TEST_CASE("asking for an unknown dispatch or withdrawing it keeps it from running", "[ledger]") {
    // The start is still under way on a connection that has gone silent while the entry asks on a new one.
    dispatch_ledger ledger({});
    CHECK(ledger.attach(some_dispatch, 1s, begin) == attach_result::not_begun);
    CHECK(ledger.take_offer(some_dispatch) == offer_result::tombstoned);
    constexpr dispatch_id other{2, 2};
    CHECK(ledger.withdraw(other, begin) == withdraw_result::withdrawn);
    CHECK(ledger.take_offer(other) == offer_result::tombstoned);
    CHECK(ledger.start(other, begin) == start_result::not_begun);
}

TEST_CASE("a finished dispatch that was forgotten is never called not begun", "[ledger]") {
    // An entry that was frozen for long asks after a dispatch that ended meanwhile. "Not begun" would let it
    // place the request a second time.
    dispatch_ledger ledger({.retention = 1min, .entries = 100});
    grant_one(ledger, some_dispatch, begin + 1s);
    REQUIRE(ledger.start(some_dispatch, begin) == start_result::begun);
    ledger.finish(some_dispatch, begin + 10s);
    ledger.forget_old(begin + 69s);
    CHECK(ledger.size() == 1);
    ledger.forget_old(begin + 70s);
    CHECK(ledger.size() == 0);
    CHECK(ledger.attach(some_dispatch, 75s, begin + 75s) == attach_result::unknown);
    CHECK(ledger.attach(dispatch_id{2, 2}, 1s, begin + 75s) == attach_result::not_begun);
}

TEST_CASE("the ledger's size is bounded by what is over, never by what runs", "[ledger]") {
    dispatch_ledger ledger({.retention = 1h, .entries = 10});
    grant_one(ledger, some_dispatch, begin + 1s);
    REQUIRE(ledger.start(some_dispatch, begin) == start_result::begun);
    for (std::uint64_t index = 0; index < 1000; ++index) {
        const dispatch_id dispatch{100, index};
        grant_one(ledger, dispatch, begin + 1s);
        REQUIRE(ledger.start(dispatch, begin) == start_result::begun);
        ledger.finish(dispatch, begin + 1s);
    }
    CHECK(ledger.size() == 11);
    CHECK(ledger.attach(some_dispatch, 1s, begin) == attach_result::running);
    CHECK(ledger.attach(dispatch_id{100, 0}, 2s, begin + 2s) == attach_result::unknown);
}

TEST_CASE("an adopted dispatch that the backend server didn't know is as unknown as before", "[ledger]") {
    // A plain service can't be asked. The second question about a dispatch of a former sidecar must not be
    // answered "finished" because of the first.
    dispatch_ledger ledger({});
    ledger.adopt(some_dispatch);
    CHECK(ledger.attach(some_dispatch, 1s, begin) == attach_result::running);
    ledger.forget_adopted(some_dispatch);
    CHECK(ledger.find(some_dispatch) == nullptr);
}
