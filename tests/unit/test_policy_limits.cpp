// Tests of workspace_limits, retry_budget and quarantine.
#include "policy/quarantine.hpp"
#include "policy/retry_budget.hpp"
#include "policy/workspace_limits.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

} // namespace

TEST_CASE("a workspace's request rate is divided among the live entry processes",
          "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_live_entries(2, start_time);
    limits.set_limit("archive", {.requests_per_second = 20, .request_burst = 20}, start_time);
    int let_in = 0;
    for (int index = 0; index < 100; ++index) {
        let_in += limits.try_begin("archive", 1, start_time) ? 0 : 1;
    }
    CHECK(let_in == 10);
    const auto refusal = limits.try_begin("archive", 1, start_time);
    REQUIRE(refusal.has_value());
    CHECK(refusal->kind == error_kind::rate_limited);
    CHECK(refusal->retry_after == 100ms);
    CHECK_FALSE(limits.try_begin("archive", 1, start_time + refusal->retry_after));
    CHECK_FALSE(limits.try_begin("unlimited", 1, start_time));
}

TEST_CASE("concurrency is bounded and freed when requests end", "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_limit("archive", {.concurrent_requests = 2}, start_time);
    CHECK_FALSE(limits.try_begin("archive", 1, start_time));
    CHECK_FALSE(limits.try_begin("archive", 1, start_time));
    const auto refusal = limits.try_begin("archive", 1, start_time);
    REQUIRE(refusal.has_value());
    CHECK(refusal->kind == error_kind::concurrency_limited);
    CHECK(refusal->retry_after > duration::zero());
    limits.finish("archive", 1, 1, 100ms, start_time);
    CHECK(limits.in_progress("archive") == 1);
    CHECK_FALSE(limits.try_begin("archive", 1, start_time));
}

TEST_CASE("an entry process's share of a concurrency limit is at least one", "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_live_entries(5, start_time);
    limits.set_limit("archive", {.concurrent_requests = 2}, start_time);
    CHECK_FALSE(limits.try_begin("archive", 1, start_time));
    CHECK(limits.try_begin("archive", 1, start_time));
}

TEST_CASE("a finished request is charged for the tokens that it used", "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_limit("archive", {.tokens_per_second = 100}, start_time);
    CHECK_FALSE(limits.try_begin("archive", 1000, start_time));
    const auto refusal = limits.try_begin("archive", 500, start_time);
    REQUIRE(refusal.has_value());
    CHECK(refusal->retry_after == 5s);
    limits.finish("archive", 1000, 200, 1s, start_time);
    CHECK_FALSE(limits.try_begin("archive", 500, start_time));
}

TEST_CASE("a request above the token burst isn't refused for ever", "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_limit("archive", {.tokens_per_second = 100}, start_time);
    CHECK_FALSE(limits.try_begin("archive", 50000, start_time));
    CHECK(limits.try_begin("archive", 1, start_time + 60s)->retry_after > 60s);
}

TEST_CASE("a new limit keeps counting earlier use", "[policy][workspace_limits]") {
    workspace_limits limits;
    limits.set_limit("archive", {.requests_per_second = 10}, start_time);
    for (int index = 0; index < 10; ++index) {
        CHECK_FALSE(limits.try_begin("archive", 1, start_time));
    }
    limits.set_limit("archive", {.requests_per_second = 100}, start_time);
    CHECK(limits.try_begin("archive", 1, start_time));
    CHECK_FALSE(limits.try_begin("archive", 1, start_time + 10ms));
}

TEST_CASE("retries are limited to a fraction of the first attempts", "[policy][retry_budget]") {
    // When a third of the backend servers crashes, unlimited retries of all failed requests would overload
    // the remaining servers.
    retry_budget budget(0.1, 5);
    int retries = 0;
    for (int index = 0; index < 1000; ++index) {
        budget.record_first_attempt();
        retries += budget.try_retry() ? 1 : 0;
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries <= 105);
    CHECK(retries >= 100);
}

TEST_CASE("a request is quarantined after the crash of a second server", "[policy][quarantine]") {
    // A request crashes each server that runs it, and its caller sends it again and again. Without the
    // quarantine, it would crash one server after another and break the other requests that run there.
    quarantine marks;
    marks.record_mark(7, "pluma-1", {1, 1}, start_time);
    marks.record_mark(7, "pluma-1", {1, 1}, start_time);
    CHECK(marks.marks(7, start_time) == 1);
    CHECK_FALSE(marks.time_left(7, start_time));
    marks.record_mark(7, "pluma-2", {1, 2}, start_time + 1s);
    CHECK(marks.time_left(7, start_time + 1s) == 1h);
    CHECK_FALSE(marks.time_left(8, start_time + 1s));
    REQUIRE(marks.list(start_time + 1s).size() == 1);
    CHECK(marks.list(start_time + 1s).front().backend_servers.size() == 2);
    CHECK_FALSE(marks.time_left(7, start_time + 2h));
}

TEST_CASE("late copies of marks don't undo an operator's release", "[policy][quarantine]") {
    quarantine marks;
    marks.record_mark(7, "pluma-1", {1, 1}, start_time);
    marks.record_mark(7, "pluma-2", {1, 2}, start_time);
    CHECK(marks.release(7));
    CHECK_FALSE(marks.release(8));
    marks.record_mark(7, "pluma-2", {1, 2}, start_time + 1s);
    CHECK_FALSE(marks.time_left(7, start_time + 1s));
    marks.record_mark(7, "pluma-3", {1, 3}, start_time + 2s);
    marks.record_mark(7, "pluma-4", {1, 4}, start_time + 3s);
    CHECK(marks.time_left(7, start_time + 3s));
}

TEST_CASE("marks are bounded in number and expire", "[policy][quarantine]") {
    quarantine marks({.most_fingerprints = 2});
    marks.record_mark(1, "a", {1, 1}, start_time);
    marks.record_mark(2, "a", {1, 2}, start_time + 1s);
    marks.record_mark(3, "a", {1, 3}, start_time + 2s);
    CHECK(marks.marks(1, start_time + 2s) == 0);
    CHECK(marks.marks(2, start_time + 2s) == 1);
    CHECK(marks.marks(2, start_time + 48h) == 0);
}
