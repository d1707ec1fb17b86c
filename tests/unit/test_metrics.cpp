// Tests counters, gauges and histograms and their text exposition.
#include "metrics/registry.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace borageford;

namespace {

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the same name and labels give the same metric", "[metrics]") {
    metrics::registry registry;
    auto& first = registry.get_counter("requests_total", "Requests.", {{"tier", "0"}});
    first.add(2);
    registry.get_counter("requests_total", "Requests.", {{"tier", "0"}}).add();
    CHECK(first.value() == 3);
    CHECK(&first != &registry.get_counter("requests_total", "Requests.", {{"tier", "1"}}));
    CHECK_THROWS_AS(registry.get_histogram("requests_total", "Requests."), std::logic_error);
    CHECK_THROWS_AS(registry.get_counter("a name", ""), std::invalid_argument);
}

TEST_CASE("quantiles are exact for few samples and close for many", "[metrics]") {
    metrics::registry registry;
    auto& few = registry.get_histogram("few", "");
    CHECK(few.quantile(0.5) == 0);
    for (const double sample : {5.0, 1.0, 3.0}) {
        few.record(sample);
    }
    CHECK(few.quantile(0.5) == 3.0);
    CHECK(few.quantile(0.99) == 5.0);

    auto& many = registry.get_histogram("many", "");
    for (int sample = 0; sample < 10000; ++sample) {
        many.record(((sample * 7919) % 10000) / 10000.0);
    }
    CHECK(many.count() == 10000);
    CHECK(many.quantile(0.5) == Approx(0.5).margin(0.02));
    CHECK(many.quantile(0.95) == Approx(0.95).margin(0.02));
    CHECK(many.quantile(0.25) == Approx(0.25).margin(0.05));
    CHECK(many.quantile(1.0) <= 1.0);
}

TEST_CASE("a histogram ignores NaN and infinite samples", "[metrics]") {
    // The result of a division by zero is recorded in a histogram. Without the check, the sum would be "nan"
    // and the operator's charts would be empty until the process restarts.
    metrics::histogram histogram;
    histogram.record(std::numeric_limits<double>::quiet_NaN());
    histogram.record(std::numeric_limits<double>::infinity());
    CHECK(histogram.count() == 0);
    histogram.record(-1);
    CHECK(histogram.quantile(0.5) == 0);
}

TEST_CASE("the exposition has cumulative buckets and escaped labels", "[metrics]") {
    metrics::registry registry;
    registry.get_counter("refusals_total", "Refusals by kind.", {{"kind", "a\"b\\c\nd"}}).add(4);
    auto& wait = registry.get_histogram("queue_wait_seconds", "Time in the queue.", {{"tier", "0"}});
    wait.record(0.002);
    wait.record(1.1);
    wait.record(1000);
    registry.add_gauge("held", "Held.", {}, [] { return 1.5; });
    const auto text = registry.exposition();
    CHECK(contains(text, "# TYPE refusals_total counter\nrefusals_total{kind=\"a\\\"b\\\\c\\nd\"} 4\n"));
    CHECK(contains(text, "queue_wait_seconds_bucket{tier=\"0\",le=\"0.001\"} 0\n"));
    CHECK(contains(text, "queue_wait_seconds_bucket{tier=\"0\",le=\"0.0025\"} 1\n"));
    CHECK(contains(text, "queue_wait_seconds_bucket{tier=\"0\",le=\"1.1\"} 2\n"));
    CHECK(contains(text, "queue_wait_seconds_bucket{tier=\"0\",le=\"+Inf\"} 3\n"));
    CHECK(contains(text, "queue_wait_seconds_count{tier=\"0\"} 3\n"));
    CHECK(contains(text, "queue_wait_seconds_quantile{tier=\"0\",quantile=\"0.95\"} 1000\n"));
    CHECK(contains(text, "# TYPE held gauge\nheld 1.5\n"));
}

TEST_CASE("label sets over the limit share one metric", "[metrics]") {
    // Callers send a new label value with every request. Without a limit, the process would use more and more
    // memory until the kernel kills it, which aborts all requests in progress.
    metrics::registry registry;
    for (std::size_t index = 0; index < metrics::registry::max_label_sets; ++index) {
        registry.get_counter("asked_total", "", {{"target", std::to_string(index)}}).add();
    }
    auto& first_over = registry.get_counter("asked_total", "", {{"target", "over"}});
    CHECK(&first_over == &registry.get_counter("asked_total", "", {{"target", "further over"}}));
    first_over.add(7);
    CHECK(contains(registry.exposition(), "asked_total{target=\"other\"} 7\n"));
}

TEST_CASE("no samples from concurrent threads are lost", "[metrics]") {
    metrics::registry registry;
    {
        std::vector<std::jthread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back([&registry] {
                for (int sample = 0; sample < 1000; ++sample) {
                    registry.get_histogram("shared_seconds", "").record(0.01);
                    registry.get_counter("shared_total", "").add();
                }
            });
        }
    }
    CHECK(registry.get_histogram("shared_seconds", "").count() == 4000);
    CHECK(registry.get_counter("shared_total", "").value() == 4000);
}
