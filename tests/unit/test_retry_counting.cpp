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
