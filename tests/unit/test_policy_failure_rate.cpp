// Tests of failure_rate, and of what slot_scheduler makes of it.
#include "policy/failure_rate.hpp"
#include "policy/slot_scheduler.hpp"
#include "sample_slot_request.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace borageford::policy;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr server_key losing = 1;
constexpr server_key sound = 2;

/// Two servers, of which one loses two requests in five, never three in a row.
class losing_server_load {
public:
    explicit losing_server_load(slot_scheduler_limits limits) : m_scheduler(limits) {
        m_scheduler.set_server(losing, engines, 4);
        m_scheduler.set_server(sound, engines, 4);
    }

    /// Sends a request every 20 ms until `end`, each of which takes 100 ms; returns how many were lost.
    int play_until(time_point end) {
        int lost = 0;
        for (; m_now < end; m_now += 20ms) {
            lost += end_requests();
            m_scheduler.add(sample_slot_request(++m_ticket, m_now), m_now);
            for (const auto& grant : m_scheduler.grant(m_now)) {
                m_running.push_back({grant, m_now});
            }
        }
        return lost;
    }

    [[nodiscard]] time_point now() const noexcept { return m_now; }
    void wait(duration span) { m_now += span; }
    [[nodiscard]] slot_scheduler& scheduler() noexcept { return m_scheduler; }

private:
    struct running_grant {
        slot_grant grant;
        time_point begun;
    };

    int end_requests() {
        int lost = 0;
        while (!m_running.empty() && m_now - m_running.front().begun >= 100ms) {
            const auto grant = m_running.front().grant;
            m_running.erase(m_running.begin());
            const bool is_lost = grant.server == losing && (m_at_losing++ % 5) % 2 == 1;
            lost += is_lost ? 1 : 0;
            const auto outcome = is_lost ? slot_outcome::broken : slot_outcome::served;
            m_scheduler.release({grant.ticket, grant.server, outcome, 100ms, 50ms}, m_now);
        }
        return lost;
    }

    slot_scheduler m_scheduler;
    std::vector<running_grant> m_running;
    slot_ticket m_ticket = 0;
    int m_at_losing = 0;
    time_point m_now = start_time;
};

} // namespace

TEST_CASE("a failure rate needs more than one lost request, and fades while the server isn't used",
          "[policy][failure_rate]") {
    failure_rate rate;
    CHECK(rate.share(start_time) == 0);
    rate.record(true, start_time);
    CHECK_FALSE(rate.is_high(start_time));
    rate.record(true, start_time);
    CHECK(rate.is_high(start_time));
    CHECK_FALSE(rate.is_high(start_time + 10s));
    for (int served = 0; served < 30; ++served) {
        rate.record(false, start_time);
    }
    CHECK_FALSE(rate.is_high(start_time));
}

TEST_CASE("a server that loses some of its requests gets few while another has room",
          "[policy][failure_rate]") {
    losing_server_load load({.reserved_slots = 0, .avoids_failing_servers = true});
    const auto lost = load.play_until(start_time + 10s);
    CHECK(lost <= 15); // of 500, of which it would get half and lose 100
    losing_server_load before({.reserved_slots = 0});
    CHECK(before.play_until(start_time + 10s) > 50);
}

TEST_CASE("a server that loses requests is used when the others are full", "[policy][failure_rate]") {
    losing_server_load load({.outstanding_per_slot = 1, .reserved_slots = 0, .avoids_failing_servers = true});
    static_cast<void>(load.play_until(start_time + 2s));
    load.wait(1s);
    static_cast<void>(load.play_until(load.now() + 20ms));
    for (slot_ticket ticket = 1000; ticket < 1008; ++ticket) {
        load.scheduler().add(sample_slot_request(ticket, load.now()), load.now());
    }
    int at_losing = 0;
    for (const auto& grant : load.scheduler().grant(load.now())) {
        at_losing += grant.server == losing ? 1 : 0;
    }
    CHECK(at_losing == 4);
}

TEST_CASE("a request that may be repeated leaves sound servers to those that may not",
          "[policy][failure_rate]") {
    losing_server_load load({.outstanding_per_slot = 1, .reserved_slots = 0, .avoids_failing_servers = true});
    static_cast<void>(load.play_until(start_time + 2s));
    load.wait(1s);
    static_cast<void>(load.play_until(load.now() + 20ms));
    auto& scheduler = load.scheduler();
    int unrepeatable = 0;
    for (slot_ticket ticket = 1000; ticket < 1006; ++ticket) {
        auto request = sample_slot_request(ticket, load.now());
        request.may_repeat = ticket < 1004; // four that come first, and two that no other server may run
        scheduler.add(request, load.now());
        for (const auto& grant : scheduler.grant(load.now())) {
            CHECK((grant.ticket < 1004 || grant.server == sound));
            unrepeatable += grant.ticket >= 1004 ? 1 : 0;
        }
    }
    CHECK(unrepeatable == 2);
}

TEST_CASE("when all servers lose requests, all of them are used", "[policy][failure_rate]") {
    slot_scheduler scheduler(
        {.outstanding_per_slot = 1, .reserved_slots = 0, .avoids_failing_servers = true});
    for (const auto server : {losing, sound}) {
        scheduler.set_server(server, engines, 4);
        for (slot_ticket ticket = 1; ticket <= 9; ++ticket) {
            scheduler.add_running({ticket * 10 + server, server, engines, 0}, start_time);
            const auto outcome = ticket % 3 == 0 ? slot_outcome::served : slot_outcome::failed;
            scheduler.release({ticket * 10 + server, server, outcome, 100ms, 50ms}, start_time);
        }
    }
    for (slot_ticket ticket = 1; ticket <= 8; ++ticket) {
        scheduler.add(sample_slot_request(ticket, start_time), start_time);
    }
    CHECK(scheduler.grant(start_time).size() == 8);
}
