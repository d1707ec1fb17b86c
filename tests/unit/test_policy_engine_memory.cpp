// Tests that slot_scheduler gives engines no more tokens than their memory takes, and that neither large
// requests nor small ones wait for each other in vain.
#include "policy/memory_model.hpp"
#include "policy/slot_scheduler.hpp"
#include "sample_slot_request.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr double capacity = 100000;
constexpr unsigned slots = 8;

slot_request make_request(slot_ticket ticket, double prompt, time_point arrived = start_time) {
    auto request = sample_slot_request(ticket, arrived);
    request.deadline = arrived + 20s;
    request.target = 4s;
    request.cost = {prompt, 0};
    return request;
}

slot_scheduler make_scheduler(unsigned servers, double memory = capacity, double share = 1) {
    slot_scheduler scheduler({.reserved_slots = 0, .share = share});
    scheduler.set_engine_memory(engines, memory);
    for (server_key server = 1; server <= servers; ++server) {
        scheduler.set_server(server, engines, slots);
    }
    return scheduler;
}

/// Engines that crash when the requests that they hold have more tokens than `memory`.
class fake_engines {
public:
    explicit fake_engines(double memory) : m_memory(memory) {}

    /// Begins the granted requests, and ends all requests of the engines that crash by them.
    void begin(slot_scheduler& scheduler, const std::vector<slot_grant>& grants,
               const std::map<slot_ticket, double>& tokens, time_point now) {
        for (const auto& grant : grants) {
            auto& held = m_held[grant.server];
            held[grant.ticket] = tokens.at(grant.ticket);
            double sum = 0;
            for (const auto& [ticket, of_request] : held) {
                sum += of_request;
            }
            m_most_held = std::max(m_most_held, sum);
            if (sum > m_memory) {
                ++m_crashes;
                end_all(scheduler, grant.server, slot_outcome::broken, now);
            }
        }
    }

    /// Ends all requests of a server.
    void end_all(slot_scheduler& scheduler, server_key server, slot_outcome outcome, time_point now) {
        for (const auto& [ticket, tokens] : std::exchange(m_held[server], {})) {
            scheduler.release({ticket, server, outcome, 100ms, 50ms}, now);
        }
    }
    /// Ends the oldest request of a server.
    void end_one(slot_scheduler& scheduler, server_key server, time_point now) {
        auto& held = m_held[server];
        if (!held.empty()) {
            const auto ticket = held.begin()->first;
            held.erase(held.begin());
            scheduler.release({ticket, server, slot_outcome::served, 100ms, 50ms}, now);
        }
    }

    [[nodiscard]] int crashes() const noexcept { return m_crashes; }
    [[nodiscard]] double most_held() const noexcept { return m_most_held; }

private:
    double m_memory;
    std::map<server_key, std::map<slot_ticket, double>> m_held;
    int m_crashes = 0;
    double m_most_held = 0;
};

} // namespace

TEST_CASE("engines hold no more tokens than their memory takes", "[policy][engine_memory]") {
    // Prompts of 1,000 to 40,000 tokens for twice the time that the engines have.
    auto scheduler = make_scheduler(3);
    fake_engines fakes(capacity);
    std::mt19937 random(7);
    std::map<slot_ticket, double> tokens;
    std::size_t granted = 0;
    slot_ticket last = 0;
    for (auto now = start_time; now < start_time + 20s; now += 20ms) {
        for (int arrival = 0; arrival < 2; ++arrival) {
            tokens[++last] = std::uniform_real_distribution<double>(1000, 40000)(random);
            scheduler.add(make_request(last, tokens[last], now), now);
        }
        fakes.end_one(scheduler, 1 + last / 2 % 3, now);
        const auto grants = scheduler.grant(now);
        fakes.begin(scheduler, grants, tokens, now);
        granted += grants.size();
        static_cast<void>(scheduler.take_refusals());
    }
    CHECK(fakes.crashes() == 0);
    CHECK(fakes.most_held() > 0.9 * capacity);
    CHECK(granted > 900); // one ends every 20 ms
}

TEST_CASE("without a known memory, slots alone limit the requests", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1, 0);
    for (slot_ticket ticket = 1; ticket <= slots; ++ticket) {
        scheduler.add(make_request(ticket, 0.15 * capacity), start_time);
    }
    CHECK(scheduler.grant(start_time).size() == slots);
    CHECK(scheduler.measure_memory().empty());
}

TEST_CASE("small requests pass a large one that finds no room", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    scheduler.add(make_request(1, 60000), start_time);
    CHECK(scheduler.grant(start_time).size() == 1);
    scheduler.add(make_request(2, 60000), start_time);
    scheduler.add(make_request(3, 5000), start_time);
    const auto grants = scheduler.grant(start_time);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().ticket == 3);
    CHECK(scheduler.measure_memory().front().waits == 1);
}

TEST_CASE("a large request gets room although small ones arrive all the time", "[policy][engine_memory]") {
    // The small ones alone would keep the memory of both engines more than half full.
    auto scheduler = make_scheduler(2);
    fake_engines fakes(capacity);
    std::map<slot_ticket, double> tokens;
    constexpr slot_ticket large = 1000000;
    tokens[large] = 80000;
    std::optional<time_point> begun;
    slot_ticket last = 0;
    std::size_t small_granted_while_kept = 0;
    const auto sent = start_time + 2s;
    for (auto now = start_time; now < start_time + 8s && !begun.has_value(); now += 10ms) {
        if (now == sent) {
            scheduler.add(make_request(large, tokens[large], now), now);
        }
        if ((now - start_time) % 40ms == 0ms) {
            tokens[++last] = 12000;
            scheduler.add(make_request(last, tokens[last], now), now);
        }
        if ((now - start_time) % 100ms == 0ms) {
            fakes.end_one(scheduler, 1, now);
            fakes.end_one(scheduler, 2, now);
        }
        const auto grants = scheduler.grant(now);
        fakes.begin(scheduler, grants, tokens, now);
        for (const auto& grant : grants) {
            begun = grant.ticket == large ? std::optional(now) : begun;
            small_granted_while_kept += now > sent + 1s && grant.ticket != large ? 1 : 0;
        }
        static_cast<void>(scheduler.take_refusals());
    }
    REQUIRE(begun.has_value());
    CHECK(*begun - sent < 4s); // its target
    CHECK(small_granted_while_kept > 0);
    CHECK(fakes.crashes() == 0);
}

TEST_CASE("no room is kept any more for a large request that was withdrawn", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    scheduler.add(make_request(1, 60000), start_time);
    CHECK(scheduler.grant(start_time).size() == 1);
    scheduler.add(make_request(2, 90000), start_time);
    static_cast<void>(scheduler.grant(start_time + 1s));
    scheduler.add(make_request(3, 5000, start_time + 1s), start_time + 1s);
    CHECK(scheduler.grant(start_time + 1s).empty());
    CHECK(scheduler.withdraw(2));
    CHECK(scheduler.grant(start_time + 1s).size() == 1);
}

TEST_CASE("a request that waits for memory too long is refused for that reason", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    scheduler.add(make_request(1, 60000), start_time);
    static_cast<void>(scheduler.grant(start_time));
    scheduler.add(make_request(2, 60000), start_time);
    static_cast<void>(scheduler.grant(start_time + 1s));
    static_cast<void>(scheduler.grant(start_time + 7s));
    const auto refusals = scheduler.take_refusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().reason == refusal_reason::over_memory);
}

TEST_CASE("a request expected to take more than an engine's memory gets an engine for itself",
          "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    auto request = make_request(1, 90000);
    request.cost.output = 20000;
    scheduler.add(request, start_time);
    CHECK(scheduler.grant(start_time).size() == 1);
    scheduler.add(make_request(2, 1000), start_time);
    CHECK(scheduler.grant(start_time).empty());
}

TEST_CASE("a new granter counts the tokens of the holds that it is told", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    scheduler.add_running({1, 1, engines, 0, {50000, 10000}}, start_time);
    scheduler.add(make_request(2, 50000), start_time);
    CHECK(scheduler.grant(start_time).empty());
    scheduler.release({1, 1, slot_outcome::abandoned, 1s, 0s}, start_time);
    CHECK(scheduler.grant(start_time).size() == 1);
}

TEST_CASE("processes without a coordinator stay within the memory together", "[policy][engine_memory]") {
    constexpr std::size_t processes = 8;
    double held = 0;
    for (std::size_t process = 0; process < processes; ++process) {
        auto scheduler = make_scheduler(1, capacity, 1.0 / processes);
        for (slot_ticket ticket = 1; ticket <= 20; ++ticket) {
            scheduler.add(make_request(ticket, 30000), start_time);
            scheduler.add(make_request(100 + ticket, 12000), start_time);
        }
        CHECK_FALSE(scheduler.grant(start_time).empty());
        held += scheduler.measure_memory().front().reserved;
    }
    CHECK(held <= capacity);
}

TEST_CASE("an engine with less memory than it said crashes a few times only", "[policy][engine_memory]") {
    // It comes back under a new key each time, as a restarted server does.
    constexpr int tolerated_crashes = 6;
    auto scheduler = make_scheduler(0);
    fake_engines fakes(0.6 * capacity);
    std::map<slot_ticket, double> tokens;
    server_key server = 1;
    scheduler.set_server(server, engines, slots);
    slot_ticket last = 0;
    std::size_t granted = 0;
    for (auto now = start_time; now < start_time + 30s; now += 50ms) {
        tokens[++last] = 12000;
        scheduler.add(make_request(last, tokens[last], now), now);
        fakes.end_one(scheduler, server, now);
        const auto crashes = fakes.crashes();
        const auto grants = scheduler.grant(now);
        granted += grants.size();
        if ((now - start_time) % 1s == 0s) {
            // A burst.
            for (int arrival = 0; arrival < 8; ++arrival) {
                tokens[++last] = 12000;
                scheduler.add(make_request(last, tokens[last], now), now);
            }
        }
        fakes.begin(scheduler, grants, tokens, now);
        if (fakes.crashes() > crashes) {
            scheduler.remove_server(server);
            scheduler.set_server(++server, engines, slots);
        }
        static_cast<void>(scheduler.take_refusals());
    }
    CHECK(fakes.crashes() >= 1);
    CHECK(fakes.crashes() <= tolerated_crashes);
    CHECK(granted > 400);
    CHECK_FALSE(scheduler.take_memory_overflows().empty());
}

TEST_CASE("one broken connection says nothing about an engine's memory", "[policy][engine_memory]") {
    auto scheduler = make_scheduler(1);
    scheduler.add(make_request(1, 40000), start_time);
    scheduler.add(make_request(2, 40000), start_time);
    const auto grants = scheduler.grant(start_time);
    REQUIRE(grants.size() == 2);
    scheduler.release({1, 1, slot_outcome::broken, 100ms, 0s}, start_time);
    scheduler.release({2, 1, slot_outcome::served, 200ms, 0s}, start_time + 100ms);
    CHECK(scheduler.take_memory_overflows().empty());
}

TEST_CASE("what an overflow takes from the engines comes back", "[policy][memory_model]") {
    memory_model model;
    model.set_capacity(engines, capacity);
    CHECK(model.learn_overflow(engines, 60000, start_time));
    CHECK(model.limit(engines, 1, slots) >= 0.5 * capacity);
    CHECK(model.limit(engines, 1, slots) < 60000);
    CHECK_FALSE(
        model.learn_overflow(engines, 40000, start_time)); // crashes of half-empty engines say nothing
    for (auto now = start_time; now < start_time + 10min; now += 1s) {
        static_cast<void>(model.recover(now));
    }
    CHECK(model.limit(engines, 1, slots) == capacity);
}

TEST_CASE("answers that are longer than expected take more of the memory", "[policy][memory_model]") {
    memory_model model;
    model.set_capacity(engines, capacity);
    const token_cost cost{1000, 100};
    for (int answer = 0; answer < 1000; ++answer) {
        model.learn_output(engines, 100, answer % 2 == 0 ? 50 : 200);
    }
    CHECK(model.expect(engines, cost) == Approx(1200).margin(20));
    for (int answer = 0; answer < 1000; ++answer) {
        model.learn_output(engines, 100, 100000);
    }
    CHECK(model.expect(engines, cost) <= 1000 + 3 * 100);
}
