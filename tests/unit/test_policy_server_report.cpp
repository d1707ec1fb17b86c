// Tests of the server reports with which a new coordinator continues from what the members have learned.
#include "coordination/slot_coordinator.hpp"
#include "policy/slot_scheduler.hpp"
#include "sample_slot_request.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace borageford;
using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr server_key dead = 1;
constexpr server_key slow = 2;
constexpr server_key fast = 3;
constexpr std::size_t all = 100;

slot_scheduler make_scheduler() {
    slot_scheduler scheduler({});
    for (const auto server : {dead, slow, fast}) {
        scheduler.set_server(server, engines, 4);
    }
    return scheduler;
}

slot_request make_request(slot_ticket ticket, time_point now) {
    auto request = sample_slot_request(ticket, now);
    request.cost = {1000, 40};
    return request;
}

/// Records a member's own requests: one server refuses connections, one is slow and one is fast.
void observe_all(slot_scheduler& member, time_point now) {
    for (slot_ticket ticket = 1; ticket <= 12; ++ticket) {
        member.observe({ticket, slow, slot_outcome::served, 2s, 900ms, 40}, 1000, now - 1s);
        member.observe({ticket, fast, slot_outcome::served, 500ms, 60ms, 40}, 1000, now - 1s);
    }
    member.observe({100, dead, slot_outcome::unreachable, 300ms, {}, 0}, 1000, now);
}

std::map<server_key, int> count_grants(slot_scheduler& scheduler, int requests, time_point now) {
    std::map<server_key, int> result;
    for (int index = 0; index < requests; ++index) {
        scheduler.add(make_request(1000 + index, now), now);
    }
    for (const auto& grant : scheduler.grant(now)) {
        ++result[grant.server];
    }
    return result;
}

} // namespace

TEST_CASE("a new coordinator knows the outcomes of the members' requests", "[policy][server_report]") {
    // The coordinator was killed, and only it had recorded that one server accepts no connections and that
    // another one is slow. The new coordinator sent the next requests of all members to these two servers,
    // and their callers waited for connections that were never opened.
    auto member = make_scheduler();
    observe_all(member, start_time);
    auto successor = make_scheduler();
    for (const auto& report : member.report_servers(all, start_time)) {
        successor.adopt(report, start_time);
    }
    const auto grants = count_grants(successor, 6, start_time);
    CHECK_FALSE(grants.contains(dead));
    CHECK_FALSE(grants.contains(slow)); // its first event would be late
    CHECK(grants.at(fast) >= 4);
}

TEST_CASE("a member that loses its coordinator continues from what it has learned itself",
          "[policy][server_report]") {
    // Without a coordinator, each gateway grants its own share of the slots. For that, its scheduler must
    // also have recorded the outcomes of those requests of its own for which the coordinator had granted the
    // slots.
    auto member = make_scheduler();
    observe_all(member, start_time);
    CHECK_FALSE(count_grants(member, 6, start_time).contains(dead));
}

TEST_CASE("a success at a server overrides earlier failures that other members report",
          "[policy][server_report]") {
    // A member couldn't reach a server for a moment and reports that later. The server has served other
    // requests since then, so the report must not start a cooldown.
    auto member = make_scheduler();
    member.observe({100, dead, slot_outcome::unreachable, 300ms, {}, 0}, 1000, start_time);
    auto successor = make_scheduler();
    successor.observe({5, dead, slot_outcome::served, 100ms, 50ms, 4}, 1000, start_time + 10ms);
    for (const auto& report : member.report_servers(all, start_time + 20ms)) {
        successor.adopt(report, start_time + 20ms);
    }
    CHECK(count_grants(successor, 12, start_time + 20ms).contains(dead));
}

TEST_CASE("a failure that was long ago starts no cooldown at a new coordinator", "[policy][server_report]") {
    auto member = make_scheduler();
    member.observe({100, dead, slot_outcome::unreachable, 300ms, {}, 0}, 1000, start_time);
    auto successor = make_scheduler();
    for (const auto& report : member.report_servers(all, start_time + 20s)) {
        successor.adopt(report, start_time + 20s);
    }
    CHECK(count_grants(successor, 12, start_time + 20s).contains(dead));
}

TEST_CASE("the number of reports is bounded, and failing servers are reported first",
          "[policy][server_report]") {
    // With 1,300 servers and 350 members that all report at once, a new coordinator would be busy with
    // nothing but reports.
    slot_scheduler member({});
    for (server_key server = 1; server <= 500; ++server) {
        member.set_server(server, engines, 4);
        member.observe({server, server, slot_outcome::served, 100ms, 50ms, 4}, 1000, start_time);
    }
    member.observe({600, 321, slot_outcome::unreachable, 100ms, {}, 0}, 1000, start_time);
    const auto reports = member.report_servers(64, start_time);
    REQUIRE(reports.size() == 64);
    CHECK(reports.front().server == 321);
    CHECK(reports.front().rests == 1);
}

TEST_CASE("reports on a server's previous start don't apply to its new one", "[policy][server_report]") {
    // A restarted server has a new key, which no report contains yet.
    auto member = make_scheduler();
    member.observe({100, dead, slot_outcome::unreachable, 300ms, {}, 0}, 1000, start_time);
    slot_scheduler successor({});
    constexpr server_key restarted = 9;
    successor.set_server(restarted, engines, 4);
    for (const auto& report : member.report_servers(all, start_time)) {
        successor.adopt(report, start_time);
    }
    CHECK(count_grants(successor, 2, start_time).at(restarted) == 2);
}

TEST_CASE("the reports in a batch are applied before its slot requests", "[coordination][server_report]") {
    // Reports arrive in the same batch as slot requests. Applied after the requests, they would have no
    // effect on them.
    auto member = make_scheduler();
    observe_all(member, start_time);
    coordination::slot_coordinator successor({}, {}, {});
    successor.scheduler().set_server(dead, engines, 4);
    successor.scheduler().set_server(fast, engines, 4);
    coordination::batch_items batch;
    batch.reports = member.report_servers(all, start_time);
    for (slot_ticket ticket = 1; ticket <= 4; ++ticket) {
        batch.asks.push_back(make_request(ticket, start_time));
    }
    successor.apply_items(7, batch, start_time);
    const auto grants = successor.decide(start_time).at(7).grants;
    REQUIRE(grants.size() == 4);
    CHECK(std::ranges::all_of(grants, [](const auto& grant) { return grant.server == fast; }));
}
