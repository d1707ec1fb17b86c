// Tests which requests and which retries a coordinator counts for the retry budget, and when.
#include "coordination/local_requests.hpp"
#include "coordination/slot_coordinator.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::coordination;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key service = 7;
constexpr member_key member = 1;
constexpr server_key server = 5;
const time_point start = time_point{} + 1h;

slot_request make_request(slot_ticket ticket, unsigned sends, time_point now) {
    slot_request result;
    result.ticket = ticket;
    result.service = service;
    result.arrived = now;
    result.deadline = now + 1h;
    result.target = 1h;
    result.sends = sends;
    return result;
}

slot_coordinator make_coordinator(const server_retry_limits& limits) {
    slot_scheduler_limits slots;
    slots.outstanding_per_slot = 1;
    slots.reserved_slots = 0;
    return {slots, {}, limits};
}

/// Sends `count` retries to the coordinator, with tickets from `first` on.
void ask_for_retries(slot_coordinator& coordinator, slot_ticket first, unsigned count, time_point now) {
    batch_items items;
    for (unsigned index = 0; index < count; ++index) {
        items.asks.push_back(make_request(first + index, 1, now));
    }
    coordinator.apply_items(member, items, now);
}

/// Makes room for all waiting requests and returns how many are granted a slot.
std::size_t count_grants(slot_coordinator& coordinator, time_point now) {
    constexpr unsigned slots = 1000;
    coordinator.scheduler().set_server(server, service, slots);
    return coordinator.decide(now)[member].grants.size();
}

} // namespace

TEST_CASE("a request that still waits when its coordinator is lost is counted once",
          "[coordination][retry_counting]") {
    // The waiting requests are listed to the next coordinator. If it counted them again, each loss of a
    // coordinator would add retries to a budget that is meant to be smaller the less is served.
    const server_retry_limits limits{.ratio = 1, .reserve = 0};
    auto first = make_coordinator(limits);
    auto second = make_coordinator(limits);
    local_requests requests;
    const auto waiting = make_request(1, 0, start);
    requests.add(waiting, {});
    batch_items items;
    items.asks.push_back(waiting);
    first.apply_items(member, items, start);
    const auto allowed = first.retry_budget().current_use(service, start).allowed;
    second.apply_items(member, requests.list_all(), start);
    CHECK(allowed > 0);
    CHECK(second.retry_budget().current_use(service, start).allowed == 0);
}

TEST_CASE("a request whose servers can't be reached is counted once", "[coordination][retry_counting]") {
    // It asks for a slot again after each server that accepts no connection, without having been sent.
    auto coordinator = make_coordinator({.ratio = 1, .reserve = 0});
    for (slot_ticket ticket = 1; ticket <= 5; ++ticket) {
        auto request = make_request(ticket, 0, start);
        request.is_counted = ticket > 1;
        batch_items items;
        items.asks.push_back(request);
        coordinator.apply_items(member, items, start);
    }
    CHECK(coordinator.retry_budget().current_use(service, start).allowed == Approx(0.6));
}

TEST_CASE("retries that waited for a slot count in the window in which they are sent",
          "[coordination][retry_counting]") {
    // All servers are busy for longer than a window, and then free at once. Retries that were counted when
    // they asked have left the window by then, and arrive together with those that are counted now.
    auto coordinator = make_coordinator({.ratio = 0, .reserve = 100, .window = 10s});
    ask_for_retries(coordinator, 1, 100, start);
    ask_for_retries(coordinator, 1001, 100, start + 11s);
    const auto granted = count_grants(coordinator, start + 12s);
    CHECK(granted > 0);
    CHECK(granted <= 100);
}

TEST_CASE("a retry that gets no slot leaves its place in the budget to another one",
          "[coordination][retry_counting]") {
    auto coordinator = make_coordinator({.ratio = 0, .reserve = 2, .window = 10s}); // one retry in a window
    ask_for_retries(coordinator, 1, 1, start);
    batch_items items;
    items.withdrawals.push_back(1);
    coordinator.apply_items(member, items, start);
    ask_for_retries(coordinator, 2, 1, start);
    coordinator.detach(member, start);
    ask_for_retries(coordinator, 3, 2, start);
    CHECK(count_grants(coordinator, start) == 1);
    ask_for_retries(coordinator, 5, 1, start);
    CHECK(count_grants(coordinator, start) == 0);
}
