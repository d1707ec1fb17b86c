// Tests of the dispatch_ledger: an id starts at most once, a tombstone is permanent, and an id that was
// finished and removed is never reported as "not begun".
#include "ledger/dispatch_ledger.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::ledger;
using namespace std::chrono_literals;

namespace {

constexpr dispatch_id some_dispatch{1, 1};
const time_point begin = time_point{} + 1h;

void grant_one(dispatch_ledger& ledger, dispatch_id dispatch, time_point expiry) {
    REQUIRE(ledger.record_offer(dispatch) == offer_result::taken);
    REQUIRE(ledger.grant(dispatch, expiry));
}

} // namespace

TEST_CASE("a granted dispatch starts only once", "[ledger]") {
    // An old, unresponsive connection delivers a second copy of a start. If it ran again, its effect would be
    // counted twice.
    dispatch_ledger ledger({});
    grant_one(ledger, some_dispatch, begin + 1s);
    CHECK(ledger.start(some_dispatch, begin) == start_result::begun);
    CHECK(ledger.start(some_dispatch, begin) == start_result::already_started);
    CHECK(ledger.withdraw(some_dispatch, begin) == withdraw_result::already_started);
    ledger.finish(some_dispatch, begin);
    CHECK(ledger.start(some_dispatch, begin) == start_result::already_started);
    CHECK(ledger.record_offer(some_dispatch) == offer_result::tombstoned);
    CHECK(ledger.attach(some_dispatch, begin - 1s, begin) == attach_result::finished);
}

TEST_CASE("a start without a valid grant makes the dispatch a tombstone", "[ledger]") {
    // An entry process was suspended after it received a grant and continues after the grant has expired.
    // Meanwhile the caller was told that the request didn't run.
    dispatch_ledger ledger({});
    grant_one(ledger, some_dispatch, begin + 1s);
    CHECK(ledger.start(some_dispatch, begin + 1s) == start_result::not_begun);
    CHECK_FALSE(ledger.grant(some_dispatch, begin + 2s));
    CHECK(ledger.start(some_dispatch, begin) == start_result::not_begun);
    CHECK(ledger.attach(some_dispatch, begin - 1s, begin) == attach_result::not_begun);
}

TEST_CASE("only grants that have reached their expiry time expire", "[ledger]") {
    dispatch_ledger ledger({});
    constexpr dispatch_id started{2, 2};
    constexpr dispatch_id waiting{3, 3};
    grant_one(ledger, some_dispatch, begin + 1s);
    grant_one(ledger, started, begin + 1s);
    grant_one(ledger, waiting, begin + 2s);
    REQUIRE(ledger.start(started, begin) == start_result::begun);
    CHECK(ledger.expire_grants(begin).empty());
    CHECK(ledger.expire_grants(begin + 1s) == std::vector{some_dispatch});
    CHECK(ledger.start(some_dispatch, begin) == start_result::not_begun);
    CHECK(ledger.start(waiting, begin) == start_result::begun);
}

TEST_CASE("an unknown dispatch can't run after an attach or a withdrawal", "[ledger]") {
    // The start is still in transit on an unresponsive connection while the entry process asks for the
    // dispatch's state on a new one.
    dispatch_ledger ledger({});
    CHECK(ledger.attach(some_dispatch, begin - 1s, begin) == attach_result::not_begun);
    CHECK(ledger.record_offer(some_dispatch) == offer_result::tombstoned);
    constexpr dispatch_id other{2, 2};
    CHECK(ledger.withdraw(other, begin) == withdraw_result::withdrawn);
    CHECK(ledger.record_offer(other) == offer_result::tombstoned);
    CHECK(ledger.start(other, begin) == start_result::not_begun);
}

TEST_CASE("a finished dispatch that was removed is never reported as not begun", "[ledger]") {
    // An entry process that was suspended for long asks for the state of a dispatch that has finished
    // meanwhile. "Not begun" would let it place the request a second time.
    dispatch_ledger ledger({.retention = 1min, .entries = 100});
    grant_one(ledger, some_dispatch, begin + 1s);
    REQUIRE(ledger.start(some_dispatch, begin) == start_result::begun);
    ledger.finish(some_dispatch, begin + 10s);
    ledger.forget_old(begin + 69s);
    CHECK(ledger.size() == 1);
    ledger.forget_old(begin + 70s);
    CHECK(ledger.size() == 0);
    CHECK(ledger.attach(some_dispatch, begin, begin + 75s) == attach_result::unknown);
    CHECK(ledger.attach(dispatch_id{2, 2}, begin + 74s, begin + 75s) == attach_result::not_begun);
}

TEST_CASE("the ledger removes ended dispatches when it is full, never running ones", "[ledger]") {
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
    CHECK(ledger.attach(some_dispatch, begin - 1s, begin) == attach_result::running);
    CHECK(ledger.attach(dispatch_id{100, 0}, begin, begin + 2s) == attach_result::unknown);
}

TEST_CASE("an adopted dispatch that the backend server doesn't know becomes unknown again", "[ledger]") {
    // A plain service can't report its running requests. The second request for the state of a dispatch of a
    // previous sidecar must not be answered "finished" because of the first request.
    dispatch_ledger ledger({});
    ledger.adopt(some_dispatch);
    CHECK(ledger.attach(some_dispatch, begin - 1s, begin) == attach_result::running);
    ledger.forget_adopted(some_dispatch);
    CHECK(ledger.find(some_dispatch) == nullptr);
}
