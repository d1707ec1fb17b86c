// Tests that the retry budget holds for all processes together when others take over from the one that grants
// retries.
#include "policy/active_members.hpp"
#include "policy/server_retry_budget.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key service = 7;
constexpr server_retry_limits limits{.ratio = 0, .reserve = 100, .window = 10s};
/// What a process uses of the reserve at most.
constexpr int usable = 60;
const time_point start = time_point{} + 1h;

/// A process that knows of all retries before `start`.
server_retry_budget make_budget(std::uint64_t source) {
    server_retry_budget budget(limits, source, start);
    budget.knowledge().assume_nothing_before(start);
    return budget;
}

/// Grants a retry that doesn't have to wait.
bool grant(server_retry_budget& budget, time_point now, service_key of = service) {
    const bool is_allowed = budget.try_reserve(of, now);
    if (is_allowed) {
        budget.record_reserved(of, now);
    }
    return is_allowed;
}

int grant_all(server_retry_budget& budget, time_point now) {
    int granted = 0;
    while (grant(budget, now)) {
        ++granted;
    }
    return granted;
}

} // namespace

TEST_CASE("a process that takes over grants only the retries that its predecessor left",
          "[policy][server_retry_budget]") {
    auto first = make_budget(1);
    auto second = make_budget(2);
    for (int retry = 0; retry < 40; ++retry) {
        CHECK(grant(first, start));
    }
    second.merge(first.statement(start), start);
    CHECK(grant_all(second, start) == usable - 40);
    CHECK(second.current_use(service, start).by_others == 40);
}

TEST_CASE("retries that several processes report are counted once", "[policy][server_retry_budget]") {
    // Every member of a lost coordinator reports to its successor what that coordinator had granted. Counting
    // each report would leave nothing of the reserve.
    auto first = make_budget(1);
    for (int retry = 0; retry < 20; ++retry) {
        CHECK(grant(first, start));
    }
    auto successor = make_budget(2);
    for (std::uint64_t source = 3; source < 6; ++source) {
        auto member = make_budget(source);
        member.merge(first.statement(start), start);
        successor.merge(member.statement(start), start);
    }
    CHECK(grant_all(successor, start) == usable - 20);
}

TEST_CASE("the retries of two processes that granted at the same time add up",
          "[policy][server_retry_budget]") {
    auto first = make_budget(1);
    auto second = make_budget(2);
    auto third = make_budget(3);
    first.set_share(0.25);
    second.set_share(0.5);
    CHECK(grant_all(first, start) == 15);
    CHECK(grant_all(second, start) == 30);
    third.merge(first.statement(start), start);
    third.merge(second.statement(start), start);
    CHECK(grant_all(third, start) == usable - 45);
}

TEST_CASE("an old report doesn't replace a newer one of the same process", "[policy][server_retry_budget]") {
    // Datagrams overtake each other.
    auto first = make_budget(1);
    CHECK(grant(first, start));
    const auto early = first.statement(start);
    CHECK(grant_all(first, start) == usable - 1);
    const auto late = first.statement(start);
    auto second = make_budget(2);
    second.merge(late, start);
    second.merge(early, start);
    CHECK(grant_all(second, start) == 0);
}

TEST_CASE("the reserve is at hand again when the predecessor's retries have left the window",
          "[policy][server_retry_budget]") {
    auto first = make_budget(1);
    static_cast<void>(grant_all(first, start));
    auto second = make_budget(2);
    second.merge(first.statement(start), start);
    CHECK(grant_all(second, start + 10s) == 0);
    CHECK(grant_all(second, start + 10600ms) == usable);
}

TEST_CASE("a process that doesn't know the last window takes nothing from the reserve",
          "[policy][server_retry_budget]") {
    // All gateways were killed at once: nobody is left who knows what they had granted.
    server_retry_budget fresh({.ratio = 0.5, .reserve = 100, .window = 10s}, 1, start);
    for (int request = 0; request < 100; ++request) {
        fresh.count_request(service, start);
    }
    CHECK(grant_all(fresh, start) == 30); // the ratio's part alone
    server_retry_budget other(limits, 2, start);
    CHECK(grant_all(other, start + 9s) == 0);
    CHECK(grant_all(other, start + 10s) == usable);
}

TEST_CASE("a process that has just started learns what was used from one that knows",
          "[policy][server_retry_budget]") {
    auto old = make_budget(1);
    CHECK(grant(old, start));
    server_retry_budget fresh(limits, 2, start);
    fresh.merge(old.statement(start), start);
    CHECK(grant_all(fresh, start) == usable - 1);
    server_retry_budget first_of_all(limits, 3, start);
    first_of_all.knowledge().assume_nothing_before(start);
    CHECK(grant_all(first_of_all, start) == usable);
}

TEST_CASE("a process that was cut off doesn't claim to know what the others granted",
          "[policy][server_retry_budget]") {
    // A gateway comes back after all others have used up the reserve and were killed. What it last heard is
    // older than that.
    auto isolated = make_budget(1);
    CHECK(isolated.statement(start + 900ms).known_for > 10s);
    CHECK(isolated.statement(start + 3s).known_for == 0s);
    isolated.knowledge().record_connected(true, start + 3s);
    CHECK(isolated.statement(start + 3s).known_for == 0s);
    CHECK(grant_all(isolated, start + 3s) == 0);
    CHECK(grant_all(isolated, start + 13s) == usable);
}

TEST_CASE("a window that ends later counts the requests that earned its retries only once",
          "[policy][server_retry_budget]") {
    // The predecessor counted its requests early and granted their retries late. A window of its successor
    // contains the retries and none of the requests.
    server_retry_budget first({.ratio = 0.5, .reserve = 100, .window = 10s}, 1, start - 1h);
    for (int request = 0; request < 100; ++request) {
        first.count_request(service, start);
    }
    first.set_share(0);
    CHECK(grant_all(first, start + 8s) == 30);
    auto second = make_budget(2);
    second.merge(first.statement(start + 8s), start + 8s);
    CHECK(grant_all(second, start + 12s) == usable - 30);
}

TEST_CASE("a statement fits into a datagram, and one that leaves out uses doesn't claim to know all",
          "[policy][server_retry_budget]") {
    auto budget = make_budget(1);
    for (service_key each = 1; each <= 30; ++each) {
        CHECK(grant(budget, start, each));
    }
    const auto stated = budget.statement(start);
    CHECK(stated.uses.size() == 24);
    CHECK(stated.known_for == 0s);
}

TEST_CASE("a new coordinator leaves their shares to members that haven't attached yet",
          "[policy][server_retry_budget]") {
    // All gateways have started at once and grant from their local shares. The first one that coordinates
    // used the whole reserve in addition, since it had served nobody and so counted only itself.
    active_members members;
    CHECK(members.new_coordinator_share(1, 4, start) == 0.25);
    members.record_served(2, start);
    CHECK(members.new_coordinator_share(2, 4, start) == 0.5);
    CHECK(members.new_coordinator_share(4, 3, start) == 1);
    CHECK(members.coordinator_share(1, start) == 0.5);
}
