// Tests that slots are granted within the rate limits that servers name, in virtual time.
#include "policy/active_members.hpp"
#include "policy/server_rate_limit.hpp"
#include "policy/slot_scheduler.hpp"
#include "sample_slot_request.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr server_key limited = 1;
constexpr server_key unlimited = 2;
constexpr auto window = 4s;
/// A server may get this many times its limit in a window, and some requests more.
constexpr double tolerance = 1.5;
constexpr double allowance = 5;

slot_request make_request(slot_ticket ticket, time_point now, unsigned sends = 0) {
    auto request = sample_slot_request(ticket, now);
    request.sends = sends;
    return request;
}

/// The largest number of times in any window.
std::size_t largest_window(const std::vector<time_point>& times) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// One scheduler whose requests end 20 ms after their grants, and the times of the grants by server.
class scheduler_run {
public:
    explicit scheduler_run(std::size_t servers) {
        for (server_key server = 1; server <= servers; ++server) {
            m_scheduler.set_server(server, engines, 8);
        }
    }

    slot_scheduler& scheduler() { return m_scheduler; }
    [[nodiscard]] time_point now() const { return m_now; }
    std::vector<time_point>& grants(server_key server) { return m_grants[server]; }

    /// Lets time pass, with `per_second` new requests.
    void run(duration length, double per_second) {
        const auto end = m_now + length;
        while (m_now < end) {
            m_now += step;
            m_due += per_second * to_seconds(step);
            for (; m_due >= 1; m_due -= 1) {
                // Every third request is sent again after a failure elsewhere, or resumes a stream.
                const unsigned sends = ++m_last_ticket % 3 == 0 ? 1 : 0;
                m_scheduler.add(make_request(m_last_ticket, m_now, sends), m_now);
            }
            grant();
        }
    }
    /// Lets time pass without any call, as when the process is frozen.
    void freeze(duration length) { m_now += length; }

private:
    static constexpr auto step = 5ms;

    void grant() {
        while (!m_running.empty() && m_running.front().second <= m_now) {
            m_scheduler.release(m_running.front().first, m_now);
            m_running.pop_front();
        }
        for (const auto& grant : m_scheduler.grant(m_now)) {
            m_grants[grant.server].push_back(m_now);
            m_running.emplace_back(slot_release{grant.ticket, grant.server, slot_outcome::served, 20ms, 5ms},
                                   m_now + 20ms);
        }
        static_cast<void>(m_scheduler.take_refusals());
    }

    slot_scheduler m_scheduler{slot_scheduler_limits{}};
    time_point m_now = start_time;
    double m_due = 0;
    slot_ticket m_last_ticket = 0;
    std::map<server_key, std::vector<time_point>> m_grants;
    std::deque<std::pair<slot_release, time_point>> m_running;
};

} // namespace

TEST_CASE("a server gets its rate limit and not more, and other servers take the rest",
          "[policy][rate_limit]") {
    for (const double limit : {1.0, 1.6, 5.0, 20.0}) {
        scheduler_run run(2);
        run.scheduler().set_rate_limit(limited, limit, run.now());
        run.run(20s, 600); // more than both servers can take
        const auto count = static_cast<double>(run.grants(limited).size());
        CHECK(count <= limit * 20 + 1);
        CHECK(count >= limit * 20 * 0.9 - 1);
        CHECK(static_cast<double>(largest_window(run.grants(limited))) <=
              limit * to_seconds(window) * 1.2 + 1);
        CHECK(run.grants(unlimited).size() >= 400 * 20);
    }
}

TEST_CASE("an idle spell, a freeze or a lower limit doesn't allow a burst", "[policy][rate_limit]") {
    // What a process has saved up would all be sent at once to a server that has just asked for less.
    constexpr double limit = 2;
    scheduler_run run(2);
    run.scheduler().set_rate_limit(limited, 40, run.now());
    run.run(5s, 100);
    run.scheduler().set_rate_limit(limited, limit, run.now());
    run.grants(limited).clear();
    run.run(5s, 100);
    run.run(30s, 0);
    run.run(5s, 100);
    run.freeze(10s);
    run.run(5s, 100);
    CHECK(largest_window(run.grants(limited)) <= 11);
}

TEST_CASE("a server without a limit any more gets as many requests as before", "[policy][rate_limit]") {
    scheduler_run run(1);
    run.scheduler().set_rate_limit(limited, 1, run.now());
    run.run(5s, 100);
    run.scheduler().set_rate_limit(limited, std::nullopt, run.now());
    run.grants(limited).clear();
    run.run(5s, 100);
    CHECK(run.grants(limited).size() >= 450);
}

TEST_CASE("a server with a limit of nearly 0 is still asked now and then", "[policy][rate_limit]") {
    // A server that gets no request can't answer that its need is over, and would stay out of use for good.
    for (const double limit : {0.0, 0.0001}) {
        scheduler_run run(1);
        run.scheduler().set_rate_limit(limited, limit, run.now());
        run.run(60s, 10);
        CHECK(run.grants(limited).size() >= 10);
        CHECK(largest_window(run.grants(limited)) <= 2);
    }
}

TEST_CASE("a request that the limits of all servers hold back is refused at once, with the time to come back",
          "[policy][rate_limit]") {
    // Every server of a service names a limit, and more requests come than that. They would wait in vain, and
    // their callers would learn only afterwards that they have to come back.
    slot_scheduler scheduler{slot_scheduler_limits{}};
    for (const server_key server : {1, 2}) {
        scheduler.set_server(server, engines, 8);
        scheduler.set_rate_limit(server, 0.5, start_time);
    }
    const auto now = start_time + 2s; // one token each
    for (slot_ticket ticket = 1; ticket <= 2; ++ticket) {
        scheduler.add(make_request(ticket, now), now);
        CHECK(scheduler.grant(now).size() == 1);
    }
    scheduler.add(make_request(3, now), now);
    const auto refusals = scheduler.take_refusals();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals.front().reason == refusal_reason::over_server_limit);
    CHECK(refusals.front().retry_after >= 1s);
    CHECK(refusals.front().retry_after <= 3s);
    CHECK(scheduler.waiting() == 0);
}

TEST_CASE("a failed request goes back to the server that failed it rather than wait for a limit",
          "[policy][rate_limit]") {
    slot_scheduler scheduler{slot_scheduler_limits{}};
    scheduler.set_server(1, engines, 8);
    scheduler.set_server(2, engines, 8);
    scheduler.set_rate_limit(2, 0.1, start_time);
    auto request = make_request(1, start_time, 1);
    request.avoided = {1, 0};
    scheduler.add(request, start_time);
    const auto grants = scheduler.grant(start_time);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().server == 1);
}

TEST_CASE("a process without a coordinator uses only a part that can't add up to a burst",
          "[policy][rate_limit]") {
    // A hundred gateways lose their coordinator. If each saved up one request for a server with a limit of 10
    // a second, they could send it a hundred at once.
    server_rate_limit small_part(10, {0.01, true}, start_time);
    CHECK(small_part.per_second() == 0);
    CHECK(small_part.wait(start_time) == duration::max());
    server_rate_limit large_part(10, {0.25, true}, start_time);
    CHECK(large_part.per_second() == Approx(2.5));
    CHECK_FALSE(large_part.has_room(start_time));
    CHECK(large_part.has_room(start_time + 400ms));
}

TEST_CASE("the shares of a server's rate limit sum to at most 1 while processes are disconnected",
          "[policy][rate_limit]") {
    // Three of four gateways keep their coordinator and one loses it. After a while the coordinator gives the
    // share of the lost gateway to the others, and by then the lost one must have stopped using it.
    active_members coordinator;
    active_members lost;
    for (member_key member = 1; member <= 3; ++member) {
        coordinator.record_served(member, start_time);
    }
    lost.record_reported_count(4, start_time);
    for (auto at = start_time; at < start_time + 60s; at += 100ms) {
        coordinator.record_served(1, at);
        coordinator.record_served(2, at);
        const double sum = coordinator.coordinator_rate_share(3, 4, at) + lost.local_rate_share(4, at);
        CHECK(sum <= 1);
    }
    CHECK(coordinator.coordinator_rate_share(3, 4, start_time + 60s) == 1);
}

TEST_CASE("a process that has just started and reaches no other one uses only its part of a server's limit",
          "[policy][rate_limit]") {
    active_members alone;
    CHECK(alone.coordinator_rate_share(1, 4, start_time) == Approx(0.25));
    CHECK(alone.coordinator_rate_share(1, 1, start_time) == Approx(1));
    CHECK(alone.local_rate_share(4, start_time) == 0);
}

namespace {

/// Gateways that the network divides into groups at random. In each group one gateway coordinates; the others
/// lose it for some time after each division, and grant from their local parts.
class divided_gateways {
public:
    divided_gateways(std::uint64_t seed, std::size_t count, double limit) : m_random(seed) {
        for (std::size_t index = 0; index < count; ++index) {
            auto& unit = m_gateways.emplace_back(std::make_unique<gateway>());
            unit->scheduler.set_server(limited, engines, 64);
            unit->scheduler.set_rate_limit(limited, limit, m_now);
            unit->members.record_reported_count(count, m_now);
        }
    }

    void run(duration length) {
        const auto end = m_now + length;
        auto next_division = m_now;
        while (m_now < end) {
            if (m_now >= next_division) {
                divide();
                next_division = m_now + milliseconds(draw(200, 15000));
            }
            advance();
            m_now += 10ms;
        }
    }
    [[nodiscard]] const std::vector<time_point>& arrivals() const { return m_arrivals; }

private:
    using milliseconds = std::chrono::milliseconds;
    /// The longest time that a gateway needs to find the coordinator of its group.
    static constexpr long longest_search = 800;

    struct gateway {
        slot_scheduler scheduler{slot_scheduler_limits{}};
        active_members members;
        std::size_t group = 0;
        time_point attaches; ///< when it finds the coordinator of its group, or becomes it
        bool is_attached = false;
    };

    long draw(long least, long most) { return std::uniform_int_distribution<long>(least, most)(m_random); }

    void divide() {
        const auto groups = draw(1, 3);
        for (auto& unit : m_gateways) {
            const auto group = static_cast<std::size_t>(draw(0, groups - 1));
            if (group != unit->group || draw(0, 3) == 0) {
                unit->group = group;
                unit->is_attached = false;
                unit->attaches = m_now + milliseconds(draw(50, longest_search));
                unit->scheduler.restart_rate_limits(m_now);
            }
        }
    }

    /// The attached gateway of the group with the lowest index; null if none is attached.
    gateway* coordinator_of(std::size_t group) {
        const auto found = std::ranges::find_if(
            m_gateways, [group](const auto& unit) { return unit->group == group && unit->is_attached; });
        return found == m_gateways.end() ? nullptr : found->get();
    }

    void advance() {
        for (auto& unit : m_gateways) {
            if (!unit->is_attached && unit->attaches <= m_now) {
                unit->is_attached = true;
                unit->scheduler.restart_rate_limits(m_now);
            }
        }
        for (std::size_t index = 0; index < m_gateways.size(); ++index) {
            auto& unit = *m_gateways[index];
            auto* coordinator = coordinator_of(unit.group);
            if (unit.is_attached && coordinator != &unit) {
                coordinator->members.record_served(index + 1, m_now);
                unit.members.record_reported_count(coordinator->members.count(), m_now);
                unit.scheduler.restart_rate_limits(m_now); // grants nothing itself
                request(*coordinator);
                continue;
            }
            unit.scheduler.set_rate_share(share_of(unit), m_now);
            request(unit);
        }
    }

    rate_share share_of(gateway& unit) {
        if (!unit.is_attached) {
            return {unit.members.local_rate_share(m_gateways.size(), m_now), true};
        }
        const auto attached = std::ranges::count_if(
            m_gateways, [&](const auto& other) { return other->group == unit.group && other->is_attached; });
        return {
            unit.members.coordinator_rate_share(static_cast<std::size_t>(attached), m_gateways.size(), m_now),
            false};
    }

    /// One request that ends at once. Not every step has one, so that there are idle spells.
    void request(gateway& granting) {
        if (m_now - start_time < m_idle_until) {
            return;
        }
        if (draw(0, 3000) == 0) {
            m_idle_until = m_now - start_time + milliseconds(draw(1000, 20000));
        }
        granting.scheduler.add(make_request(++m_last_ticket, m_now), m_now);
        for (const auto& grant : granting.scheduler.grant(m_now)) {
            m_arrivals.push_back(m_now);
            granting.scheduler.release({grant.ticket, grant.server, slot_outcome::served, 1ms, 1ms}, m_now);
        }
        static_cast<void>(granting.scheduler.take_refusals());
    }

    std::mt19937_64 m_random;
    time_point m_now = start_time;
    duration m_idle_until{};
    slot_ticket m_last_ticket = 0;
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::vector<time_point> m_arrivals;
};

} // namespace

TEST_CASE("gateways that are divided and joined again keep to a server's rate limit together",
          "[policy][rate_limit]") {
    // Cuts of the network leave two coordinators beside gateways that have none, in ever new groups. A server
    // doesn't know of that and accepts no more than before.
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        for (const double limit : {1.0, 4.0, 20.0}) {
            divided_gateways gateways(seed, 6, limit);
            gateways.run(120s);
            const auto most = static_cast<double>(largest_window(gateways.arrivals()));
            CHECK(most <= tolerance * limit * to_seconds(window) + allowance);
            CHECK(gateways.arrivals().size() >= 30);
        }
    }
}
