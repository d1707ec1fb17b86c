// Tests that a promise to a refused caller outlives the coordinator that made it.
#include "coordination/batch_channel.hpp"
#include "coordination/slot_coordinator.hpp"
#include "coordination/told_promises.hpp"
#include "sample_slot_request.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace borageford::coordination;
using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr member_key first_member = 1;
constexpr member_key second_member = 2;

slot_request make_request(slot_ticket ticket, std::uint64_t fingerprint, time_point arrived) {
    auto request = sample_slot_request(ticket, arrived);
    request.fingerprint = fingerprint;
    request.deadline = arrived + 6s;
    return request;
}

slot_scheduler_limits limits() {
    slot_scheduler_limits result{.outstanding_per_slot = 1, .reserved_slots = 0};
    result.promises_returns = true;
    return result;
}

/// Sends a request on its arrival.
void ask(slot_coordinator& coordinator, member_key member, const slot_request& request) {
    batch_items items;
    items.asks.push_back(request);
    coordinator.apply_items(member, items, request.arrived);
}

/// A coordinator of one server with one slot that was held by a request for 100 ms.
slot_coordinator make_coordinator() {
    slot_coordinator result(limits(), {}, {});
    result.scheduler().set_server(1, engines, 1);
    ask(result, first_member, make_request(1000, 0, start_time - 1s));
    static_cast<void>(result.decide(start_time - 1s));
    batch_items ended;
    ended.releases.push_back({1000, 1, slot_outcome::served, 100ms, 50ms});
    result.apply_items(first_member, ended, start_time - 900ms);
    return result;
}

/// Sends many requests at once and returns the first refusal.
slot_refusal overload(slot_coordinator& coordinator) {
    for (slot_ticket ticket = 1; ticket <= 30; ++ticket) {
        ask(coordinator, first_member, make_request(ticket, ticket, start_time));
    }
    return coordinator.decide(start_time).at(first_member).refusals.at(0);
}

} // namespace

TEST_CASE("when the coordinator is lost, its successor keeps the promise to a refused caller",
          "[coordination][returns]") {
    auto lost = make_coordinator();
    const auto refusal = overload(lost);
    REQUIRE(refusal.reason == refusal_reason::return_promised);
    told_promises told;
    told.record(make_request(refusal.ticket, refusal.ticket, start_time), refusal, start_time);

    auto successor = make_coordinator();
    datagram first_batch;
    first_batch.items.promises = told.list(start_time + 50ms);
    const auto received = decode(encode(first_batch, start_time + 50ms), start_time + 50ms);
    successor.apply_items(first_member, received->items, start_time + 50ms);

    // The caller comes back at another member, while newer requests wait there.
    const auto due = start_time + refusal.retry_after + 2ms;
    ask(successor, second_member, make_request(101, 101, due - 10ms));
    ask(successor, second_member, make_request(102, refusal.ticket, due));
    const auto grants = successor.decide(due).at(second_member).grants;
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().ticket == 102);
}

TEST_CASE("a member keeps a bounded number of promises, and none whose callers no longer come",
          "[coordination][returns]") {
    told_promises told;
    for (slot_ticket ticket = 1; ticket <= 1000; ++ticket) {
        told.record(make_request(ticket, ticket, start_time), {ticket, refusal_reason::return_promised, 1s},
                    start_time);
        told.record(make_request(ticket, ticket, start_time), {ticket, refusal_reason::no_slot_in_time, 6s},
                    start_time);
    }
    CHECK(told.list(start_time).size() == 400);
    CHECK(told.list(start_time + 3s).empty());
}

TEST_CASE("a promise takes 32 bytes of a datagram, and promises are split over batches",
          "[coordination][returns]") {
    batch_items items;
    const auto empty = items.encoded_size();
    items.promises.resize(100);
    CHECK(items.encoded_size() - empty == 3200);
    batch_channel channel(1);
    channel.pending() = items;
    CHECK(channel.take_due(start_time).size() == 3);
}
