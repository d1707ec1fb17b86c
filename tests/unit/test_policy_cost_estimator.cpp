// Tests of cost_estimator, count_prompt_tokens() and retry_after().
#include "policy/cost_estimator.hpp"

#include <catch2/catch.hpp>

using namespace borageford::policy;
using namespace std::chrono_literals;

TEST_CASE("one token is counted for every four bytes of prompt, rounded up", "[policy][cost_estimator]") {
    CHECK(count_prompt_tokens(0) == 0);
    CHECK(count_prompt_tokens(1) == 1);
    CHECK(count_prompt_tokens(8) == 2);
    CHECK(count_prompt_tokens(9) == 3);
}

TEST_CASE("expected output follows the ended requests of a workspace and route", "[policy][cost_estimator]") {
    cost_estimator estimator;
    CHECK(estimator.expected_output("archive", "summary", 200) == 200);
    for (int index = 0; index < 20; ++index) {
        estimator.record_output("archive", "summary", 50);
        estimator.record_output("archive", "notes", 900);
    }
    CHECK(estimator.expected_output("archive", "summary", 200) == 50);
    CHECK(estimator.expected_output("archive", "notes", 200) == 900);
    CHECK(estimator.expected_output("survey", "notes", 200) == 200);
    for (int index = 0; index < 100; ++index) {
        estimator.record_output("archive", "summary", 100);
    }
    CHECK(estimator.expected_output("archive", "summary", 200) >= 99);
}

TEST_CASE("an unbounded number of workspace names doesn't fill memory", "[policy][cost_estimator]") {
    cost_estimator estimator;
    for (std::size_t index = 0; index < 2 * cost_estimator::max_keys; ++index) {
        const auto name = "workspace-" + std::to_string(index);
        for (int sample = 0; sample < 5; ++sample) {
            estimator.record_output(name, "route", 10);
        }
    }
    CHECK(estimator.expected_output("workspace-0", "route", 200) == 10);
    CHECK(estimator.expected_output("workspace-2000", "route", 200) == 200);
}

TEST_CASE("the engine's rates follow the measurements", "[policy][cost_estimator]") {
    cost_estimator estimator;
    CHECK(estimator.prefill_rate() == 0);
    auto now = time_point{} + 1h;
    estimator.record_prefill(4000, 1s, now);
    CHECK(estimator.prefill_rate() == Approx(4000));
    for (int index = 0; index < 300; ++index) {
        now += 1s;
        estimator.record_prefill(400, 1s, now);
    }
    CHECK(estimator.prefill_rate() == Approx(400).epsilon(0.05));
    for (int index = 0; index < 100; ++index) {
        estimator.record_output_tokens(10, true, now);
        now += 100ms;
    }
    CHECK(estimator.output_rate() == Approx(100).epsilon(0.05));
}

TEST_CASE("the retry time of a refused caller follows the drain rate", "[policy][cost_estimator]") {
    // A constant time would make all refused callers retry at the same moment, too early when the system is
    // slow and too late when it is fast.
    CHECK(retry_after(10000, 5000, 1s) == 2000ms);
    CHECK(retry_after(10000, 500, 1s) == 20000ms);
    CHECK(retry_after(10000, 0, 3s) == 3000ms);
    CHECK(retry_after(1, 5000, 1s) == 500ms);
    CHECK(retry_after(1000000, 1, 1s) == 60000ms);
}

TEST_CASE("prompts prefilled together don't make the engine look slow", "[policy][cost_estimator]") {
    cost_estimator estimator;
    auto now = time_point{} + 1h;
    for (int round = 0; round < 50; ++round) {
        // Four prompts are sent at the same time; the engine prefills them one after another.
        for (int place = 1; place <= 4; ++place) {
            estimator.record_prefill(1000, place * 250ms, now + place * 250ms);
        }
        now += 1s;
    }
    CHECK(estimator.prefill_rate() == Approx(4000).epsilon(0.05));
}

TEST_CASE("the steady prefill rate ignores noise and follows a slowdown", "[policy][cost_estimator]") {
    cost_estimator estimator;
    auto now = time_point{} + 1h;
    const auto prefill = [&](duration elapsed) {
        now += 2s;
        estimator.record_prefill(1000, elapsed, now);
    };
    for (int index = 0; index < 10; ++index) {
        prefill(250ms);
    }
    const double first = estimator.steady_prefill_rate();
    for (int index = 0; index < 50; ++index) {
        prefill(index % 2 == 0 ? 200ms : 300ms);
    }
    CHECK(estimator.steady_prefill_rate() == first);
    for (int index = 0; index < 200; ++index) {
        prefill(1500ms);
    }
    CHECK(estimator.steady_prefill_rate() < first / 3);
}
