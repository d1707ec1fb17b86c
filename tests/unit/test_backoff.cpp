// Tests of the pauses that servers ask gateways for: their field, their ends, and the slots that aren't
// granted.
#include "platform/backoff_codec.hpp"
#include "policy/server_backoff.hpp"
#include "policy/slot_scheduler.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>

using namespace borageford;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key service = 7;
constexpr member_key turned_away = 1;
constexpr member_key other = 2;
const time_point start = time_point{} + 1h;

slot_request make_request(slot_ticket ticket, member_key member, time_point now) {
    slot_request result;
    result.ticket = ticket;
    result.service = service;
    result.member = member;
    result.arrived = now;
    result.deadline = now + 10s;
    result.target = 1s;
    return result;
}

slot_scheduler make_scheduler(unsigned servers) {
    slot_scheduler scheduler({});
    for (server_key server = 1; server <= servers; ++server) {
        scheduler.set_server(server, service, 8);
    }
    return scheduler;
}

} // namespace

TEST_CASE("a shorter pause doesn't shorten an earlier one", "[policy][backoff]") {
    server_backoff backoff;
    backoff.extend(turned_away, start + 5s, start);
    backoff.extend(turned_away, start + 2s, start + 1s);
    CHECK(backoff.end_of(turned_away, start + 4s) == start + 5s);
    CHECK_FALSE(backoff.is_active(turned_away, start + 5s));
    CHECK_FALSE(backoff.is_active(other, start));
}

TEST_CASE("a server that asked one gateway for a pause gets requests of the others", "[policy][backoff]") {
    auto scheduler = make_scheduler(2);
    scheduler.set_backoff(1, turned_away, start + 5s, start);
    for (slot_ticket ticket = 1; ticket <= 4; ++ticket) {
        scheduler.add(make_request(ticket, turned_away, start), start);
    }
    for (const auto& grant : scheduler.grant(start)) {
        CHECK(grant.server == 2);
    }
    bool has_first = false;
    for (slot_ticket ticket = 5; ticket <= 8; ++ticket) {
        scheduler.add(make_request(ticket, other, start), start);
    }
    for (const auto& grant : scheduler.grant(start)) {
        has_first = has_first || grant.server == 1;
    }
    CHECK(has_first);
    CHECK(scheduler.list_backoffs(turned_away, start).size() == 1);
    CHECK(scheduler.list_backoffs(turned_away, start + 5s).empty());
}

TEST_CASE("a request waits for the end of a pause if it may, and is refused at once if it may not",
          "[policy][backoff]") {
    auto scheduler = make_scheduler(1);
    scheduler.set_backoff(1, turned_away, start + 1s, start);
    scheduler.add(make_request(1, turned_away, start), start);
    CHECK(scheduler.grant(start + 900ms).empty());
    CHECK(scheduler.take_refusals().empty());
    CHECK(scheduler.grant(start + 1s).size() == 1);
    scheduler.set_backoff(1, turned_away, start + 9s, start + 1s);
    scheduler.add(make_request(2, turned_away, start + 1s), start + 1s);
    const auto refusals = scheduler.take_refusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().reason == refusal_reason::servers_back_off);
    CHECK(refusals.front().retry_after == 8s);
}

TEST_CASE("a request that waits is refused when the last server asks for a long pause", "[policy][backoff]") {
    auto scheduler = make_scheduler(1);
    scheduler.set_backoff(1, turned_away, start + 1s, start);
    scheduler.add(make_request(1, turned_away, start), start);
    scheduler.set_backoff(1, turned_away, start + 60s, start + 500ms);
    CHECK(scheduler.grant(start + 500ms).empty());
    REQUIRE(scheduler.take_refusals().size() == 1);
    CHECK(scheduler.waiting() == 0);
}

TEST_CASE("a pause is a decimal number of seconds above 0", "[platform][backoff]") {
    CHECK(platform::decode_backoff("3") == 3s);
    CHECK(platform::decode_backoff("2.5") == 2500ms);
    CHECK(platform::decode_backoff("0.0001") == 1ms); // never too early
    for (const std::string value :
         {"", "0", "-1", "1e308", "NaN", "inf", "3 s", "Thu, 03 Dec 2026 22:00:00 GMT"}) {
        CHECK_THROWS_AS(platform::decode_backoff(value), std::invalid_argument);
    }
    CHECK_THROWS_AS(platform::decode_backoff(std::string(400, '9')), std::invalid_argument);
}
