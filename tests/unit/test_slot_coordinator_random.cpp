// Tests slot_coordinator with random sequences of all messages that members can send, in any order. The
// invariants are checked after each step. A failure prints its seed; the same seed always gives the same
// sequence.
#include "coordination/slot_coordinator.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace borageford;
using namespace borageford::coordination;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

constexpr service_key service = 7;
constexpr std::size_t server_count = 3;
constexpr unsigned slots_of_each = 2;
constexpr std::size_t member_count = 3;

/// Simulated members and a coordinator, whose actions follow from a sequence of random numbers.
class random_members {
public:
    explicit random_members(unsigned seed)
        : m_random(seed), m_coordinator({.outstanding_per_slot = 1, .reserved_slots = 0}, {}, {}) {
        for (server_key server = 1; server <= server_count; ++server) {
            m_coordinator.scheduler().set_server(server, service, slots_of_each);
        }
    }

    void step() {
        m_now += std::chrono::milliseconds(m_random() % 40);
        const member_key member = 1 + m_random() % member_count;
        switch (m_random() % 8) {
        case 0:
        case 1:
        case 2:
            request_slots(member);
            break;
        case 3:
            withdraw(member);
            break;
        case 4:
        case 5:
            release(member);
            break;
        case 6:
            drop(member);
            break;
        default:
            decide();
        }
        check();
    }

    /// Drops all members and checks that the coordinator keeps none of their requests.
    void finish() {
        for (member_key member = 1; member <= member_count; ++member) {
            m_coordinator.detach(member, m_now);
            m_known[member] = {};
        }
        decide();
        CHECK(m_coordinator.scheduler().waiting() == 0);
        CHECK(m_coordinator.scheduler().running() == 0);
    }

private:
    struct member_state {
        std::set<slot_ticket> waiting;
        std::map<slot_ticket, server_key> running;
    };

    void request_slots(member_key member) {
        batch_items items;
        const auto count = 1 + m_random() % 12; // with many requests at once, some can't be served in time
        for (unsigned index = 0; index < count; ++index) {
            slot_request wanted;
            wanted.ticket = ++m_last_ticket;
            wanted.service = service;
            wanted.workspace = 1 + m_random() % 2;
            wanted.tier = static_cast<int>(m_random() % 3);
            wanted.arrived = m_now;
            wanted.deadline = m_now + 2s;
            wanted.target = 100ms;
            wanted.fingerprint = m_random() % 50;
            items.asks.push_back(wanted);
            m_known[member].waiting.insert(wanted.ticket);
        }
        m_coordinator.apply_items(member, items, m_now);
    }

    void withdraw(member_key member) {
        auto& known = m_known[member];
        if (known.waiting.empty()) {
            return;
        }
        batch_items items;
        const auto ticket = *known.waiting.begin();
        known.waiting.erase(ticket);
        m_withdrawn.insert(ticket);
        items.withdrawals.push_back(ticket);
        m_coordinator.apply_items(member, items, m_now);
    }

    void release(member_key member) {
        auto& known = m_known[member];
        if (known.running.empty()) {
            return;
        }
        const auto [ticket, server] = *known.running.begin();
        known.running.erase(ticket);
        batch_items items;
        const auto outcome = static_cast<slot_outcome>(m_random() % 6);
        items.releases.push_back({ticket, server, outcome, 30ms, 10ms});
        m_coordinator.apply_items(member, items, m_now);
    }

    /// The coordinator drops a member. The member either stays away, or starts a new session and reports
    /// the slots that its requests still occupy.
    void drop(member_key member) {
        m_coordinator.detach(member, m_now);
        auto& known = m_known[member];
        if (m_random() % 2 == 0) {
            known = {};
            return;
        }
        batch_items items;
        for (const auto& [ticket, server] : known.running) {
            items.holds.push_back({ticket, server, service, 0, {}});
        }
        m_coordinator.apply_items(member, items, m_now);
        known.waiting.clear();
    }

    void decide() {
        for (const auto& [member, items] : m_coordinator.decide(m_now)) {
            for (const auto& grant : items.grants) {
                take_grant(member, grant);
            }
            for (const auto& refusal : items.refusals) {
                m_known[member].waiting.erase(refusal.ticket);
            }
        }
    }

    void take_grant(member_key member, const slot_grant& grant) {
        auto& known = m_known[member];
        const bool was_waiting = known.waiting.erase(grant.ticket) == 1;
        const bool was_withdrawn = m_withdrawn.erase(grant.ticket) == 1;
        CHECK((was_waiting || was_withdrawn));
        known.running[grant.ticket] = grant.server;
    }

    void check() const {
        std::map<server_key, unsigned> outstanding;
        for (const auto& [member, known] : m_known) {
            for (const auto& [ticket, server] : known.running) {
                ++outstanding[server];
            }
        }
        for (const auto& [server, count] : outstanding) {
            CHECK(count <= slots_of_each);
        }
    }

    std::mt19937 m_random;
    slot_coordinator m_coordinator;
    time_point m_now{10s};
    slot_ticket m_last_ticket = 0;
    std::map<member_key, member_state> m_known;
    std::set<slot_ticket> m_withdrawn;
};

} // namespace

TEST_CASE("dropping a member whose requests were just refused leaves no request behind", "[coordination]") {
    // Under overload a request is refused on arrival, and its member changes to another coordinator before
    // the refusal is sent. The coordinator then didn't find the request, and its process crashed.
    slot_coordinator coordinator({}, {}, {});
    coordinator.scheduler().set_server(1, service, 1);
    batch_items items;
    for (slot_ticket ticket = 1; ticket < 200; ++ticket) {
        slot_request wanted;
        wanted.ticket = ticket;
        wanted.service = service;
        wanted.arrived = time_point(10s);
        wanted.deadline = wanted.arrived + 2s;
        wanted.target = 100ms;
        items.asks.push_back(wanted);
    }
    coordinator.apply_items(5, items, time_point(10s));
    coordinator.detach(5, time_point(10s));
    CHECK(coordinator.decide(time_point(10s)).empty());
}

TEST_CASE("whatever members say in whatever order, slots are given once and come back", "[coordination]") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        random_members members(seed);
        for (int step = 0; step < 200; ++step) {
            members.step();
        }
        members.finish();
    }
}
