// Tests of adaptive_limit with simulated engines whose times grow with the number of running requests.
#include "policy/adaptive_limit.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

/// An engine that always runs as many requests as the limit admits. Each step takes `base` plus `each` for
/// every running sequence.
class loaded_engine {
public:
    explicit loaded_engine(adaptive_limit& limit) : m_limit(limit) {}

    /// Simulates `span`. At each step, one in `sequence_length` running sequences ends.
    void run(duration span, duration base, duration each) {
        const auto end = m_now + span;
        while (m_now < end) {
            while (m_limit.has_room(1)) {
                auto admitted = m_limit.admit(1);
                m_limit.record_first_token(admitted, 1ms, m_now);
                m_running.push_back(admitted);
            }
            const duration step = base + static_cast<int>(m_running.size()) * each;
            m_now += step;
            for (std::size_t index = 0; index < m_running.size(); ++index) {
                m_limit.record_between_tokens(step, m_now);
            }
            end_some();
        }
    }

private:
    void end_some() {
        constexpr std::size_t sequence_length = 20;
        const std::size_t ending = m_running.size() / sequence_length + 1;
        for (std::size_t index = 0; index < ending && !m_running.empty(); ++index) {
            m_limit.release(m_running.back());
            m_running.pop_back();
        }
    }

    adaptive_limit& m_limit;
    time_point m_now = time_point{} + 1h;
    std::vector<admission> m_running;
};

} // namespace

TEST_CASE("the limit of running sequences settles where the time between tokens meets its target",
          "[policy][adaptive_limit]") {
    adaptive_limit limit({.slots = 200});
    loaded_engine engine(limit);
    engine.run(60s, 10ms, 1ms);
    CHECK(limit.sequence_limit() >= 40);
    CHECK(limit.sequence_limit() <= 60);
}

TEST_CASE("the limit follows a tenfold slowdown of the engine within seconds", "[policy][adaptive_limit]") {
    // If the limit didn't follow when the engine gets ten times slower, the engine would be kept as full as
    // before, and everything that it runs would miss its targets. Callers would see slow streams until the
    // limit has shrunk.
    adaptive_limit limit({.slots = 200});
    loaded_engine engine(limit);
    engine.run(60s, 2ms, 1ms);
    const auto before = limit.sequence_limit();
    engine.run(4s, 20ms, 10ms);
    CHECK(limit.sequence_limit() <= before / 5);
    CHECK(limit.sequence_limit() >= 1);
    engine.run(120s, 2ms, 1ms);
    CHECK(limit.sequence_limit() >= before * 3 / 4);
}

TEST_CASE("one request is admitted however slow the engine is", "[policy][adaptive_limit]") {
    adaptive_limit limit({.slots = 64});
    loaded_engine engine(limit);
    engine.run(60s, 1s, 1s);
    CHECK(limit.sequence_limit() == 1);
}

TEST_CASE("a limit that isn't nearly used up doesn't grow", "[policy][adaptive_limit]") {
    adaptive_limit limit({.slots = 64});
    const auto before = limit.sequence_limit();
    auto admitted = limit.admit(10);
    auto now = time_point{} + 1h;
    for (int index = 0; index < 1000; ++index) {
        now += 10ms;
        limit.record_between_tokens(10ms, now);
    }
    CHECK(limit.sequence_limit() == before);
    limit.release(admitted);
}

TEST_CASE("tokens in prefill are limited to what the first-token target allows", "[policy][adaptive_limit]") {
    // Prompts that wait inside the engine can't be overtaken by a higher tier, and each delays the first
    // token of the next one.
    constexpr double tokens_per_second = 4000;
    adaptive_limit limit({.slots = 64});
    auto now = time_point{} + 1h;
    for (int round = 0; round < 400; ++round) {
        std::vector<admission> batch;
        while (limit.has_room(300)) {
            batch.push_back(limit.admit(300));
        }
        const auto begun = now;
        for (auto& admitted : batch) {
            now += from_seconds(300 / tokens_per_second);
            limit.record_first_token(admitted, now - begun, now);
            limit.release(admitted);
        }
    }
    CHECK(limit.prefill_token_limit() >= 1200);
    CHECK(limit.prefill_token_limit() <= 2500);
}

TEST_CASE("a long prompt is admitted when no other prompt is in prefill", "[policy][adaptive_limit]") {
    adaptive_limit limit({.slots = 4});
    CHECK(limit.has_room(1U << 24U));
    auto admitted = limit.admit(1U << 24U);
    CHECK_FALSE(limit.has_room(1));
    limit.record_first_token(admitted, 60s, time_point{} + 1h);
    CHECK(limit.has_room(1));
    CHECK(limit.prefill_token_limit() == 2048);
    limit.release(admitted);
    limit.release(admitted);
    CHECK(limit.running() == 0);
}
