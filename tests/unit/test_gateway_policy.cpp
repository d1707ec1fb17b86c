// Tests of the gateway's policies, which need no network and no clock: server health, attempts, the retry
// budget, quotas, vanished registrations, requests that crash servers, and retry delays.
#include "policy/attempt_rule.hpp"
#include "policy/overload_tracker.hpp"
#include "policy/quota_tracker.hpp"
#include "policy/refusal_history.hpp"
#include "policy/registration_watch.hpp"
#include "policy/server_health.hpp"
#include "policy/server_retry_budget.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <memory>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

} // namespace

TEST_CASE(
    "a server that refuses connections gets a cooldown at once, longer each time, and ends it by one request",
    "[policy][server_health]") {
    server_health health;
    CHECK(health.availability_at(start_time) == server_health::availability::full);
    CHECK(health.record(slot_outcome::unreachable, start_time) == server_health::change::cooldown_started);
    CHECK(health.availability_at(start_time) == server_health::availability::none);
    const auto first_end = health.cooldown_until();
    CHECK(health.availability_at(first_end) == server_health::availability::probe);
    CHECK(health.record(slot_outcome::unreachable, first_end) == server_health::change::cooldown_started);
    CHECK(health.cooldown_until() - first_end > first_end - start_time);
    const auto second_end = health.cooldown_until();
    CHECK(health.record(slot_outcome::served, second_end) == server_health::change::recovered);
    CHECK(health.availability_at(second_end) == server_health::availability::full);
}

TEST_CASE("single failures, refusals and callers that leave don't start a cooldown",
          "[policy][server_health]") {
    server_health health;
    for (int round = 0; round < 20; ++round) {
        health.record(slot_outcome::failed, start_time);
        health.record(slot_outcome::refused, start_time);
        health.record(slot_outcome::abandoned, start_time);
        health.record(slot_outcome::served, start_time);
    }
    CHECK(health.availability_at(start_time) == server_health::availability::full);
    CHECK(health.failures().share(start_time) > 0);
}

TEST_CASE("a request that may have run is only sent to another server if it may run twice",
          "[policy][attempt_rule]") {
    attempt_rule not_repeatable(false, 3);
    not_repeatable.record(1, attempt_outcome::unreachable);
    not_repeatable.record(2, attempt_outcome::not_executed);
    CHECK(not_repeatable.may_retry());
    CHECK(not_repeatable.delivered_attempts() == 1);
    not_repeatable.record(3, attempt_outcome::may_have_run);
    CHECK_FALSE(not_repeatable.may_retry());
    CHECK(not_repeatable.may_have_run());

    attempt_rule repeatable(true, 2);
    repeatable.record(1, attempt_outcome::may_have_run);
    CHECK(repeatable.may_retry());
    repeatable.record(2, attempt_outcome::may_have_run);
    CHECK_FALSE(repeatable.may_retry());
}

TEST_CASE("retries stay within a share of the requests and a reserve", "[policy][server_retry_budget]") {
    // A service fails all requests. Without a budget, each request would be sent to several servers.
    server_retry_budget budget({.ratio = 0.2, .reserve = 10, .window = 10s});
    int retries = 0;
    for (int index = 0; index < 1000; ++index) {
        const auto now = start_time + index * 10ms;
        budget.count_request(7, now);
        if (budget.try_reserve(7, now)) {
            budget.record_reserved(7, now);
            ++retries;
        }
    }
    CHECK(retries > 50);
    CHECK(retries <= 0.2 * 1000 + 10);
    CHECK_FALSE(budget.try_reserve(7, start_time + 10s));
    CHECK(budget.try_reserve(8, start_time));
}

TEST_CASE("a quota is a rate with a burst, divided by shares", "[policy][quota_tracker]") {
    quota_tracker quotas({.window = 8s, .tolerance = 0, .slack = 0});
    quotas.set_limit(1, {.rate = 100, .burst = 200}, start_time);
    // A new bucket isn't full, because other processes may have started one within the same window.
    CHECK_FALSE(quotas.try_take(1, 200, 0, start_time));
    const auto later = start_time + 10s;
    CHECK(quotas.try_take(1, 200, 0, later));
    CHECK_FALSE(quotas.try_take(1, 1, 0, later));
    CHECK(quotas.time_until(1, 50, 0, later) == 500ms);
    CHECK(quotas.try_take(1, 50, 0, later + 500ms));
    quotas.refund(1, 50, later + 500ms);
    CHECK(quotas.try_take(1, 50, 0, later + 500ms));
    quotas.set_share(0.5, later + 500ms);
    CHECK_FALSE(quotas.try_take(1, 100, 0, later + 1500ms));
    CHECK(quotas.try_take(1, 50, 0, later + 1500ms));
    CHECK(quotas.try_take(2, 1e9, 0, later));
}

TEST_CASE("no more units are granted in a window than the limit and its tolerance",
          "[policy][quota_tracker]") {
    // A workspace requests far more than its quota, and the process that counts its units is replaced twice
    // within a window.
    const quota_limits limits{.window = 8s, .tolerance = 0.1, .slack = 500};
    const quota limit{.rate = 100, .burst = 200};
    double granted = 0;
    auto quotas = std::make_unique<quota_tracker>(limits);
    quotas->set_limit(1, limit, start_time);
    for (int step = 0; step < 800; ++step) {
        const auto now = start_time + step * 10ms;
        if (step == 300 || step == 500) {
            quotas = std::make_unique<quota_tracker>(limits);
            quotas->set_limit(1, limit, now);
        }
        granted += quotas->try_take(1, 10, 0, now) ? 10 : 0;
    }
    CHECK(granted >= 100 * 8 * 0.9);
    CHECK(granted <= (100 * 8 + 200) * 1.1 + 500);
}

TEST_CASE("processes that start together grant no more units than one that starts alone",
          "[policy][quota_tracker]") {
    // All gateways were killed and start again, and each grants its own share of the quota until it has found
    // the coordinator. When the initial level of the bucket didn't depend on the share, a workspace could
    // exceed its quota by as many times as there are gateways.
    const quota_limits limits{.window = 8s, .tolerance = 0.1, .slack = 500};
    const auto grant_at_start = [&](double share) {
        quota_tracker quotas(limits);
        quotas.set_share(share, start_time);
        quotas.set_limit(1, {.rate = 1000, .burst = 1000}, start_time);
        double granted = 0;
        while (quotas.try_take(1, 1, 0, start_time)) {
            ++granted;
        }
        return granted;
    };
    CHECK(4 * grant_at_start(0.25) <= grant_at_start(1));
    CHECK(grant_at_start(0.25) > 0);
}

TEST_CASE("a process that becomes coordinator grants as many units as one that starts as coordinator",
          "[policy][quota_tracker]") {
    // A process that granted its own share of a quota becomes the coordinator. If it kept the initial level
    // of its share, a workspace with few requests a second would be refused for seconds although it is within
    // its quota. If it got the full initial level again at each change of its share, the workspace could
    // exceed its quota.
    const quota_limits limits{.window = 8s, .tolerance = 0.1, .slack = 500};
    const auto grant_all = [](quota_tracker& quotas) {
        double granted = 0;
        while (quotas.try_take(1, 1, 0, start_time)) {
            ++granted;
        }
        return granted;
    };
    quota_tracker alone(limits);
    alone.set_limit(1, {.rate = 1000, .burst = 1000}, start_time);
    quota_tracker chosen(limits);
    chosen.set_share(0.25, start_time);
    chosen.set_limit(1, {.rate = 1000, .burst = 1000}, start_time);
    const double as_share = grant_all(chosen);
    chosen.set_share(1, start_time);
    const double whole = as_share + grant_all(chosen);
    CHECK(whole <= grant_all(alone));
    CHECK(whole >= 4 * as_share);
    chosen.set_share(0.25, start_time);
    chosen.set_share(1, start_time);
    CHECK(grant_all(chosen) == 0);
}

TEST_CASE("a scarce quota goes to the higher ranks of its workspace", "[policy][quota_tracker]") {
    // A workspace sends five times what its quota allows. Granted in the order of arrival, the quota would be
    // spent on long notes that can wait, and the summaries that its writers are waiting for would be refused.
    quota_tracker quotas({.window = 8s, .tolerance = 0, .slack = 0});
    quotas.set_limit(1, {.rate = 1000, .burst = 1000}, start_time);
    std::array<int, 3> requested{};
    std::array<int, 3> taken{};
    for (int step = 0; step < 3000; ++step) {
        const auto now = start_time + 10s + step * 10ms;
        const int rank = step % 3;
        const double units = rank == 2 ? 70 : 30;
        ++requested[static_cast<std::size_t>(rank)];
        taken[static_cast<std::size_t>(rank)] += quotas.try_take(1, units, rank, now) ? 1 : 0;
    }
    CHECK(taken[0] > 0.95 * requested[0]);
    CHECK(taken[2] < 0.2 * requested[2]);
    // A call that needs hardly any units isn't refused in favour of higher ranks.
    CHECK(quotas.try_take(1, 1, 2, start_time + 40500ms));
}

TEST_CASE("a lowered quota takes effect at once", "[policy][quota_tracker]") {
    quota_tracker quotas({.window = 8s, .tolerance = 0, .slack = 0});
    quotas.set_limit(1, {.rate = 1000, .burst = 1000}, start_time);
    const auto now = start_time + 10s;
    quotas.set_limit(1, {.rate = 10, .burst = 10}, now);
    CHECK_FALSE(quotas.try_take(1, 11, 0, now));
    CHECK(quotas.try_take(1, 10, 0, now));
}

TEST_CASE("a registration that vanishes while the store rejects only this process is removed",
          "[policy][registration_watch]") {
    // The store rejects one gateway and serves all others. A server that drained meanwhile was retained by
    // this gateway for 2.3 s and got requests after it had announced that it was draining.
    registration_watch watch;
    watch.record_other_connected(start_time);
    watch.record_outage(start_time + 200ms);
    CHECK(watch.should_remove("server", start_time + 300ms));
    // The last message that another member can reach the store is old, so the store may be unavailable for
    // all.
    watch.record_outage(start_time + 700ms);
    CHECK_FALSE(watch.should_remove("server", start_time + 800ms));
}

TEST_CASE("registrations that vanish around an outage are retained for a while before they are removed",
          "[policy][registration_watch]") {
    registration_watch watch;
    CHECK(watch.should_remove("a", start_time));
    watch.record_outage(start_time);
    CHECK_FALSE(watch.should_remove("a", start_time + 100ms));
    CHECK_FALSE(watch.should_remove("b", start_time + 100ms));
    watch.record_present("b");
    CHECK(watch.take_expired(start_time + 1s).empty());
    CHECK(watch.take_expired(start_time + 100ms + registration_watch::grace) ==
          std::vector<std::string>{"a"});
    CHECK(watch.should_remove("c", start_time + 100ms + registration_watch::grace));
}

TEST_CASE("the retry delay is the time that the overload has lasted", "[policy][overload_tracker]") {
    // A burst lasts for an unknown time. With a delay of half a second, callers would retry again and again;
    // with five seconds, they would wait for nothing after a short burst.
    overload_tracker watch;
    watch.record_refusal(start_time);
    const auto early = watch.retry_after(15s, 0.5, start_time);
    for (int step = 1; step <= 30; ++step) {
        watch.record_refusal(start_time + step * 100ms);
    }
    const auto later = watch.retry_after(15s, 0.5, start_time + 3s);
    CHECK(early < 500ms);
    CHECK(later == 3s);
    CHECK(watch.retry_after(15s, 0.0, start_time + 3s) < later);
    CHECK(watch.retry_after(15s, 0.99, start_time + 3s) > later);
    // The delay leaves the caller enough time for its answer.
    CHECK(watch.retry_after(3s, 0.5, start_time + 3s) <= 1s);
    // A new burst starts with a short delay again.
    watch.record_refusal(start_time + 10s);
    CHECK(watch.retry_after(15s, 0.5, start_time + 10s) < 500ms);
}

TEST_CASE("a retried request is recognised until it is served or its refusal is too old",
          "[policy][refusal_history]") {
    refusal_history history;
    history.record_refused(7, start_time);
    CHECK(history.refusals(7, start_time + 2s) == 1);
    history.record_refused(7, start_time + 2s);
    CHECK(history.refusals(7, start_time + 3s) == 2);
    CHECK(history.refusals(8, start_time) == 0);
    history.forget(7);
    CHECK(history.refusals(7, start_time + 3s) == 0);
    history.record_refused(9, start_time + 3s);
    CHECK(history.refusals(9, start_time + 30s) == 0);
    history.record_refused(0, start_time);
    CHECK(history.refusals(0, start_time) == 0);
}
