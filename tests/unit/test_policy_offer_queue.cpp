// Tests of offer_queue, the sidecar's queue: order by tier, fair shares of workspaces, displacement,
// deadlines and expected wait.
#include "policy/offer_queue.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace borageford;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

queued_offer make_offer(std::uint64_t number, unsigned tier, std::string workspace,
                        std::uint64_t tokens = 100) {
    queued_offer offer;
    offer.dispatch = {1, number};
    offer.tier = tier;
    offer.workspace = std::move(workspace);
    offer.tokens = tokens;
    return offer;
}

} // namespace

TEST_CASE("the highest tier is taken first in any order of arrival", "[policy][offer_queue]") {
    offer_queue queue({});
    CHECK(queue.put(make_offer(1, 2, "archive"), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 0, "archive"), start_time).is_queued);
    CHECK(queue.put(make_offer(3, 1, "archive"), start_time).is_queued);
    CHECK(queue.take_next(start_time)->tier == 0);
    CHECK(queue.take_next(start_time)->tier == 1);
    CHECK(queue.take_next(start_time)->tier == 2);
    CHECK_FALSE(queue.take_next(start_time));
}

TEST_CASE("workspaces of one tier share by tokens, not by requests", "[policy][offer_queue]") {
    // One workspace fills the queue with long requests while another sends a few short ones. In plain arrival
    // order the short requests would wait for all the long ones.
    offer_queue queue({});
    std::uint64_t number = 0;
    for (int index = 0; index < 20; ++index) {
        REQUIRE(queue.put(make_offer(++number, 1, "large", 1000), start_time).is_queued);
    }
    for (int index = 0; index < 100; ++index) {
        REQUIRE(queue.put(make_offer(++number, 1, "small", 100), start_time).is_queued);
    }
    std::map<std::string, std::uint64_t> served;
    for (int index = 0; index < 55; ++index) {
        const auto taken = queue.take_next(start_time);
        served[taken->workspace] += taken->tokens;
    }
    CHECK(served["large"] == 5000);
    CHECK(served["small"] == 5000);
}

TEST_CASE("a workspace gains nothing by letting its queue run empty", "[policy][offer_queue]") {
    offer_queue queue({});
    CHECK(queue.put(make_offer(1, 0, "a", 1000), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 0, "b", 100), start_time).is_queued);
    CHECK(queue.put(make_offer(3, 0, "b", 100), start_time).is_queued);
    CHECK(queue.take_next(start_time)->workspace == "a");
    CHECK(queue.put(make_offer(4, 0, "a", 1000), start_time).is_queued);
    CHECK(queue.take_next(start_time)->workspace == "b");
    CHECK(queue.take_next(start_time)->workspace == "b");
    CHECK(queue.take_next(start_time)->workspace == "a");
}

TEST_CASE("offers that can still meet their target go before those that can't", "[policy][offer_queue]") {
    // A burst makes the queue longer than the first-token target. In plain arrival order, every request after
    // the burst would miss its target too, for as long as the load stays near the capacity.
    offer_queue queue({});
    auto late = make_offer(1, 1, "a");
    late.target_start = start_time + 100ms;
    auto in_time = make_offer(2, 1, "a");
    in_time.target_start = start_time + 900ms;
    auto other = make_offer(3, 2, "a");
    other.target_start = start_time + 900ms;
    CHECK(queue.put(late, start_time).is_queued);
    CHECK(queue.put(in_time, start_time).is_queued);
    CHECK(queue.put(other, start_time).is_queued);
    CHECK(queue.next(start_time)->dispatch == dispatch_id{1, 1});
    CHECK(queue.take_next(start_time + 500ms)->dispatch == dispatch_id{1, 2});
    CHECK(queue.take_next(start_time + 500ms)->dispatch == dispatch_id{1, 1});
    CHECK(queue.take_next(start_time + 500ms)->dispatch == dispatch_id{1, 3});
}

TEST_CASE("an offer that was taken but not started doesn't cost its workspace a turn",
          "[policy][offer_queue]") {
    offer_queue queue({});
    CHECK(queue.put(make_offer(1, 0, "a", 1000), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 0, "a", 100), start_time).is_queued);
    CHECK(queue.put(make_offer(3, 0, "b", 500), start_time).is_queued);
    const auto taken = queue.take_next(start_time);
    REQUIRE(taken->workspace == "a");
    queue.refund(*taken);
    CHECK(queue.next(start_time)->workspace == "a");
}

TEST_CASE("in a full queue an offer of a higher tier displaces one of the lowest tier",
          "[policy][offer_queue]") {
    // A burst of low-tier requests fills the queue just before an urgent request arrives. The urgent request
    // must be queued, and the caller of the displaced request is told that it didn't run.
    offer_queue queue({.requests = 3});
    CHECK(queue.put(make_offer(1, 1, "a"), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 3, "a"), start_time).is_queued);
    CHECK(queue.put(make_offer(3, 3, "a"), start_time).is_queued);
    const auto verdict = queue.put(make_offer(4, 0, "a"), start_time);
    REQUIRE(verdict.is_queued);
    REQUIRE(verdict.displaced.size() == 1);
    CHECK(verdict.displaced.front().dispatch == dispatch_id{1, 3});
    CHECK(queue.requests() == 3);
}

TEST_CASE("a full queue refuses an offer that may not displace another", "[policy][offer_queue]") {
    offer_queue queue({.requests = 2});
    CHECK(queue.put(make_offer(1, 0, "a"), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 1, "a"), start_time).is_queued);
    const auto verdict = queue.put(make_offer(3, 2, "a"), start_time);
    CHECK_FALSE(verdict.is_queued);
    CHECK(verdict.displaced.empty());
    CHECK(queue.requests() == 2);
}

TEST_CASE("a full queue makes room for a workspace with fewer waiting tokens", "[policy][offer_queue]") {
    offer_queue queue({.requests = 4});
    for (std::uint64_t number = 1; number <= 4; ++number) {
        CHECK(queue.put(make_offer(number, 1, "large"), start_time).is_queued);
    }
    const auto verdict = queue.put(make_offer(5, 1, "small"), start_time);
    REQUIRE(verdict.is_queued);
    CHECK(verdict.displaced.front().workspace == "large");
    CHECK_FALSE(queue.put(make_offer(6, 1, "large"), start_time).is_queued);
}

TEST_CASE("the token bound displaces as many offers as needed, or none", "[policy][offer_queue]") {
    offer_queue queue({.requests = 10, .tokens = 1000});
    CHECK(queue.put(make_offer(1, 2, "a", 400), start_time).is_queued);
    CHECK(queue.put(make_offer(2, 2, "a", 400), start_time).is_queued);
    CHECK(queue.put(make_offer(3, 0, "a", 200), start_time).is_queued);
    const auto refused = queue.put(make_offer(4, 1, "a", 900), start_time);
    CHECK_FALSE(refused.is_queued);
    CHECK(queue.requests() == 3);
    const auto verdict = queue.put(make_offer(5, 1, "a", 700), start_time);
    CHECK(verdict.is_queued);
    CHECK(verdict.displaced.size() == 2);
    CHECK(queue.tokens() == 900);
}

TEST_CASE("a withdrawn offer is removed from the queue", "[policy][offer_queue]") {
    offer_queue queue({});
    CHECK(queue.put(make_offer(1, 0, "a"), start_time).is_queued);
    CHECK(queue.remove({1, 1}, start_time));
    CHECK_FALSE(queue.remove({1, 1}, start_time));
    CHECK(queue.next(start_time) == nullptr);
    CHECK(queue.tokens() == 0);
}

TEST_CASE("offers that can't meet their deadline are removed", "[policy][offer_queue]") {
    // The queue drains too slowly for the caller's deadline. Keeping the offer would only delay an answer
    // that is already certain.
    offer_queue queue({});
    auto offer = make_offer(1, 0, "a");
    offer.latest_start = start_time + 500ms;
    CHECK(queue.put(offer, start_time).is_queued);
    CHECK(queue.put(make_offer(2, 0, "a"), start_time).is_queued);
    CHECK(queue.take_unreachable(start_time + 500ms).empty());
    const auto late = queue.take_unreachable(start_time + 501ms);
    REQUIRE(late.size() == 1);
    CHECK(late.front().dispatch == dispatch_id{1, 1});
    CHECK(queue.requests() == 1);
}

TEST_CASE("the expected wait follows the measured drain rate and the tier", "[policy][offer_queue]") {
    offer_queue queue({});
    CHECK(queue.expected_wait(0) == duration::zero());
    std::uint64_t number = 0;
    for (; number < 40; ++number) {
        CHECK(queue.put(make_offer(number, number % 2 == 0 ? 0 : 3, "a"), start_time).is_queued);
    }
    CHECK_FALSE(queue.expected_wait(0));
    auto now = start_time;
    for (int index = 0; index < 10; ++index) {
        now += 100ms;
        REQUIRE(queue.take_next(now));
    }
    CHECK(queue.drain_rate() == Approx(1000).epsilon(0.1));
    CHECK(to_seconds(*queue.expected_wait(0)) == Approx(1.0).epsilon(0.1));
    CHECK(to_seconds(*queue.expected_wait(3)) == Approx(3.0).epsilon(0.1));
}

TEST_CASE("idle time doesn't lower the drain rate", "[policy][offer_queue]") {
    offer_queue queue({});
    auto now = start_time;
    for (std::uint64_t number = 0; number < 10; ++number) {
        CHECK(queue.put(make_offer(number, 0, "a"), now).is_queued);
        now += 100ms;
        CHECK(queue.take_next(now));
        now += 1h;
    }
    CHECK(queue.drain_rate() == Approx(1000).epsilon(0.1));
}
