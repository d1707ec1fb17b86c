// Tests of the messages between gateways (message.hpp, batch_channel), of the election of a coordinator, of
// active_members and of slot_coordinator.
#include "coordination/batch_channel.hpp"
#include "coordination/local_requests.hpp"
#include "coordination/message.hpp"
#include "coordination/slot_coordinator.hpp"
#include "policy/active_members.hpp"
#include "policy/coordinator_election.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace borageford;
using namespace borageford::coordination;
using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;

slot_request make_slot_request(slot_ticket ticket) {
    slot_request request;
    request.ticket = ticket;
    request.service = 7;
    request.workspace = 9;
    request.tier = 2;
    request.arrived = start_time - 30ms;
    request.deadline = start_time + 4s;
    request.target = 500ms;
    request.cost = {1460, 80};
    request.units = 1540;
    request.fingerprint = 99;
    request.sends = 1;
    request.is_charged = true;
    request.may_repeat = true;
    request.avoided = {11, 12};
    return request;
}

batch_items make_items(slot_ticket ticket) {
    batch_items items;
    items.asks.push_back(make_slot_request(ticket));
    return items;
}

coordinator_election make_election(member_key self, double share = 1) {
    return {self, share, {}, start_time};
}

/// Members that send each other heartbeats as slot_broker does, over a simulated network without delay or
/// loss.
class member_network {
public:
    /// Adds a member that knows `known_members` from its start.
    void add(member_key key, const std::vector<member_key>& known_members) {
        auto election = make_election(key, 0.19);
        for (const auto other : known_members) {
            election.add(other, 0.19);
        }
        m_members.emplace(key, std::move(election));
    }

    void run(duration span) {
        constexpr auto tick = 50ms;
        for (const auto end = m_now + span; m_now < end; m_now += tick) {
            for (auto& [key, election] : m_members) {
                election.tick(m_now);
                election.set_acting(election.is_chosen(m_now));
            }
            for (auto& [key, election] : m_members) {
                for (const auto other : election.candidates(m_now)) {
                    exchange(key, other);
                }
                for (const auto other : election.absent(m_now)) {
                    exchange(key, other);
                }
            }
        }
    }

    /// The members that are chosen as a coordinator by at least one member.
    [[nodiscard]] std::set<member_key> chosen() const {
        std::set<member_key> result;
        for (const auto& [key, election] : m_members) {
            result.insert(election.choose(m_now).member);
        }
        return result;
    }
    /// Number of members that consider themselves the coordinator.
    [[nodiscard]] long coordinators() const {
        return std::ranges::count_if(m_members,
                                     [this](const auto& entry) { return entry.second.is_chosen(m_now); });
    }

private:
    void exchange(member_key from, member_key to) {
        const auto found = m_members.find(to);
        if (found == m_members.end()) {
            return;
        }
        send_status(m_members.at(from), from, found->second);
        send_status(found->second, to, m_members.at(from));
    }

    void send_status(const coordinator_election& from, member_key key, coordinator_election& to) const {
        to.record_heartbeat(key, {0.19, from.is_chosen(m_now), from.is_eligible(m_now), from.is_leaving()},
                            m_now);
        for (const auto learned : from.known(m_now)) {
            to.learn(learned, m_now);
        }
    }

    time_point m_now = start_time;
    std::map<member_key, coordinator_election> m_members;
};

} // namespace

TEST_CASE("a decoded datagram equals the encoded one, with times on the receiver's clock", "[coordination]") {
    datagram sent;
    sent.sender = {5, true, true, false, 0.19, 4, 17, {2, 23}, true, 9, 1000, 2000, 30s};
    sent.wants_reply = true;
    sent.known = {11, 12};
    sent.session = 3;
    sent.batch = 2;
    sent.acknowledged = 1;
    sent.items = make_items(1);
    sent.items.holds.push_back({8, 81, 7, 1, {10, 20}});
    sent.items.withdrawals = {4};
    sent.items.releases.push_back({5, 51, slot_outcome::broken, 1200ms, 70ms});
    sent.items.grants.push_back({6, 61});
    sent.items.refusals.push_back({7, refusal_reason::over_allowance, 250ms});
    sent.items.reports.push_back({81, 40ms, 150ms, 2, 31.5, 0.02, 12, 0.011, 0.25});
    sent.items.rate_limits.push_back({81, 9, 1.6, start_time - 300ms, start_time - 100ms, 12});
    sent.items.rate_limits.push_back({82, 10, std::nullopt, start_time, start_time, 12});
    sent.items.departures.push_back({83, start_time - 250ms, 12});
    sent.items.retries = {{{9, 7, 3, 2.5, start_time - 400ms}}, 20s};
    const auto receiver_now = start_time + 1000h;
    const auto received = decode(encode(sent, start_time), receiver_now);
    REQUIRE(received.has_value());
    REQUIRE(received->items.departures.size() == 1);
    CHECK(received->items.departures.front().server == 83);
    CHECK(received->items.departures.front().heard == receiver_now - 250ms);
    CHECK(received->items.departures.front().heard_by == 12);
    CHECK(received->items.retries.known_for == 20s);
    REQUIRE(received->items.retries.uses.size() == 1);
    const auto& use = received->items.retries.uses.front();
    CHECK(use.source == 9);
    CHECK(use.service == 7);
    CHECK(use.revision == 3);
    CHECK(use.retries == 2.5);
    CHECK(use.granted == receiver_now - 400ms);
    CHECK(received->sender.incarnation == 5);
    CHECK(received->sender.processor_share == Approx(0.19));
    CHECK(received->sender.configuration_version == 17);
    CHECK(received->sender.backends == store::position{2, 23});
    CHECK(received->sender.is_in_touch);
    CHECK(received->sender.domain == 9);
    CHECK(received->sender.configuration_confirmed == 1000);
    CHECK(received->sender.backends_confirmed == 2000);
    CHECK(received->sender.unbroken == 30s);
    CHECK(received->known == sent.known);
    CHECK(received->batch == 2);
    REQUIRE(received->items.asks.size() == 1);
    const auto& request = received->items.asks.front();
    CHECK(request.arrived == receiver_now - 30ms);
    CHECK(request.deadline == receiver_now + 4s);
    CHECK(request.cost.prompt == 1460);
    CHECK(request.domain == 9); // the failure domain of the sending gateway
    CHECK(request.avoided == std::array<server_key, 2>{11, 12});
    CHECK(request.is_charged);
    CHECK(request.may_repeat);
    CHECK(received->items.releases.front().outcome == slot_outcome::broken);
    CHECK(received->items.refusals.front().reason == refusal_reason::over_allowance);
    CHECK(received->items.withdrawals == std::vector<slot_ticket>{4});
    REQUIRE(received->items.reports.size() == 1);
    REQUIRE(received->items.rate_limits.size() == 2);
    const auto& limit = received->items.rate_limits.front();
    CHECK(limit.server == 81);
    CHECK(limit.id == 9);
    CHECK(limit.limit == 1.6);
    CHECK(limit.asked <= receiver_now - 300ms); // earlier, as the datagram takes some time
    CHECK(limit.heard == receiver_now - 100ms);
    CHECK(limit.heard_by == 12);
    CHECK_FALSE(received->items.rate_limits.back().limit);
    const auto& report = received->items.reports.front();
    CHECK(report.server == 81);
    CHECK(report.failed_ago == 40ms);
    CHECK(report.cooldown_left == 150ms);
    CHECK(report.rests == 2);
    CHECK(report.first_event_ms == Approx(31.5));
    CHECK(report.first_event_ms_per_token == Approx(0.02));
    CHECK(report.first_events == 12);
    CHECK(report.seconds_per_token == Approx(0.011));
    CHECK(report.seconds_between_ends == Approx(0.25));
}

TEST_CASE("decoding damaged datagrams is safe", "[coordination]") {
    std::mt19937 random(1);
    datagram sent;
    sent.items = make_items(1);
    const auto good = encode(sent, start_time);
    for (int round = 0; round < 2000; ++round) {
        auto bytes = good;
        const auto at = random() % bytes.size();
        bytes[at] = static_cast<std::byte>(random());
        bytes.resize(round % 2 == 0 ? bytes.size() : random() % bytes.size());
        static_cast<void>(decode(bytes, start_time)); // must neither crash nor read out of bounds
    }
    CHECK_FALSE(decode({}, start_time).has_value());
}

TEST_CASE("batches are delivered once and in order when datagrams are lost, duplicated and reordered",
          "[coordination]") {
    // Datagrams between failure domains overtake each other. A receiver that accepted only the next batch
    // and dropped all batches after it never caught up under load, so the requests of its member waited in
    // vain.
    batch_channel sender(1);
    batch_channel receiver(1);
    std::mt19937 random(7);
    std::vector<datagram> in_transit;
    std::vector<slot_ticket> received;
    auto now = start_time;
    for (slot_ticket ticket = 1; ticket <= 200 || sender.has_unacknowledged(); ++ticket) {
        REQUIRE(ticket < 5000);
        now += 3ms;
        if (ticket <= 200) {
            sender.pending().asks.push_back(make_slot_request(ticket));
        }
        for (auto& message : sender.take_due(now)) {
            if (random() % 10 != 0) {
                in_transit.push_back(message);
            }
            if (random() % 10 == 0) {
                in_transit.push_back(message);
            }
        }
        std::ranges::shuffle(in_transit, random);
        for (std::size_t count = in_transit.size() / 2 + 1; count > 0 && !in_transit.empty(); --count) {
            auto message = std::move(in_transit.back());
            in_transit.pop_back();
            for (const auto& items : receiver.receive_batch(message.batch, std::move(message.items))) {
                for (const auto& request : items.asks) {
                    received.push_back(request.ticket);
                }
            }
        }
        if (random() % 3 != 0) {
            datagram reply;
            receiver.set_session_fields(reply);
            sender.handle_acknowledgement(reply.acknowledged);
        }
    }
    REQUIRE(received.size() == 200);
    for (std::size_t index = 0; index < received.size(); ++index) {
        CHECK(received[index] == index + 1);
    }
}

TEST_CASE("a batch that isn't acknowledged is sent again at increasing intervals", "[coordination]") {
    // When all gateways of a large deployment restart at once, their coordinator falls behind. Members that
    // retransmitted their batches every 12 ms kept it behind: with 300 members, only one caller in four was
    // served.
    batch_channel channel(1);
    channel.pending().asks.push_back(make_slot_request(1));
    std::size_t sends = 0;
    for (auto passed = 0ms; passed < 240ms; passed += 1ms) {
        sends += channel.take_due(start_time + passed).size();
    }
    CHECK(sends >= 4); // a lost datagram is still replaced quickly
    CHECK(sends <= 6);
}

TEST_CASE("limits are divided among all members that may still grant their shares",
          "[policy][active_members]") {
    // One of four gateways is disconnected and continues to grant a quarter of a workspace's quota. If the
    // other three divided the complete quota among themselves at once, the workspace would get five
    // quarters of it.
    active_members members;
    const auto serve_all = [&](time_point now) {
        for (const member_key member : {1, 2, 3}) {
            members.record_served(member, now);
        }
    };
    CHECK(members.local_share(1) == Approx(0.25)); // no other member is known: four are assumed
    serve_all(start_time);
    CHECK(members.coordinator_share(4, start_time) == Approx(1));
    CHECK(members.coordinator_share(3, start_time + 5s) == Approx(0.75));
    members.record_served(1, start_time + 13s);
    members.record_served(2, start_time + 13s);
    CHECK(members.coordinator_share(3, start_time + 13s) == Approx(1));
    // A process without other members may itself be the disconnected one.
    CHECK(members.coordinator_share(1, start_time + 60s) == Approx(1.0 / 3));
    members.record_reported_count(10, start_time + 60s);
    CHECK(members.local_share(2) == Approx(0.1));
    members.record_reported_count(0, start_time + 60s); // a report of 0 means unknown and is ignored
    CHECK(members.count() == 10);
}

TEST_CASE("the order of candidates follows the processor shares that members report", "[policy][election]") {
    auto election = make_election(1, 0.1);
    const auto now = start_time + 3s;
    const auto send_status = [&](member_key member, double share) {
        election.record_heartbeat(member, {share, false, true, false}, now);
        return election.candidates(now);
    };
    CHECK(send_status(2, 0.2) == std::vector<member_key>{2});
    CHECK(send_status(3, 0.3) == std::vector<member_key>{3, 2});
    CHECK(send_status(2, 0.4) == std::vector<member_key>{2, 3});
    election.forget(2);
    CHECK(election.candidates(now) == std::vector<member_key>{3});
}

TEST_CASE("many items are split into several datagrams of bounded size", "[coordination]") {
    batch_channel channel(1);
    for (slot_ticket ticket = 1; ticket <= 100; ++ticket) {
        channel.pending().asks.push_back(make_slot_request(ticket));
    }
    const auto due = channel.take_due(start_time);
    CHECK(due.size() > 4);
    for (const auto& message : due) {
        CHECK(encode(message, start_time).size() <= 1472);
    }
    CHECK(channel.take_due(start_time + 1ms).empty());
    CHECK(channel.take_due(start_time + 1s).size() == due.size());
}

TEST_CASE("all members choose the strongest responsive member, and the lowest key among equals",
          "[policy][election]") {
    auto low = make_election(1, 0.1);
    auto high = make_election(2, 0.5);
    const auto now = start_time + 3s;
    // Processor shares are sent as float but kept as double. A received share must compare equal to the
    // local one.
    low.record_heartbeat(2, {static_cast<float>(0.5), true, true, false}, now);
    high.record_heartbeat(1, {static_cast<float>(0.1), false, true, false}, now);
    CHECK(low.choose(now).member == 2);
    CHECK(high.choose(now).who == coordinator_election::role::self);
    auto first = make_election(1, 0.19);
    auto second = make_election(2, 0.19);
    first.record_heartbeat(2, {static_cast<float>(0.19), false, true, false}, now);
    second.record_heartbeat(1, {static_cast<float>(0.19), false, true, false}, now);
    CHECK(first.choose(now).who == coordinator_election::role::self);
    CHECK(second.choose(now).member == 1);
}

TEST_CASE("a member that is unresponsive, shutting down or newly started doesn't coordinate",
          "[policy][election]") {
    auto election = make_election(5);
    const auto now = start_time + 3s;
    election.record_heartbeat(1, {1, true, true, false}, now);
    CHECK(election.choose(now).member == 1);
    CHECK(election.choose(now + 300ms).who == coordinator_election::role::self);
    election.record_heartbeat(1, {1, true, true, true}, now);
    CHECK(election.choose(now).who == coordinator_election::role::self);
    election.record_heartbeat(1, {1, false, false, false}, now);
    CHECK(election.choose(now).who == coordinator_election::role::self);
    election.leave();
    CHECK(election.choose(now).member == 1);
}

TEST_CASE("who coordinates goes on when an equal comes back, and yields to a stronger one",
          "[policy][election]") {
    // Machines are restarted one after another. If each restarted machine took the coordination back, all
    // members would have to submit their requests to another coordinator after each restart.
    auto election = make_election(5);
    const auto now = start_time + 3s;
    election.set_acting(true);
    election.record_heartbeat(1, {1, false, true, false}, now);
    CHECK(election.choose(now).who == coordinator_election::role::self);
    election.record_heartbeat(1, {2, false, true, false}, now);
    CHECK(election.choose(now).member == 1);

    auto third = make_election(7);
    third.record_heartbeat(1, {1, false, true, false}, now);
    third.record_heartbeat(5, {1, true, true, false}, now);
    CHECK(third.choose(now).member == 5);
}

TEST_CASE("when all members are shutting down, one of them still coordinates", "[policy][election]") {
    // All gateways receive the signal to stop within seconds, and each finishes a long stream first.
    // Without a coordinator each would grant only its share of the slots, and refuse callers while slots
    // are free.
    auto election = make_election(5);
    const auto now = start_time + 3s;
    election.set_acting(true);
    election.record_heartbeat(1, {1, false, true, true}, now);
    election.leave();
    CHECK(election.choose(now).who == coordinator_election::role::self);
    election.record_heartbeat(9, {1, false, false, false}, now);
    CHECK(election.choose(now).member == 9);
}

TEST_CASE("a newly started process listens for other members before it coordinates", "[policy][election]") {
    // The process doesn't know the present coordinator yet. If it took over at once, all members would
    // change their coordinator twice.
    auto election = make_election(5);
    election.add(1, 1);
    CHECK(election.choose(start_time + 100ms).who == coordinator_election::role::nobody);
    CHECK(election.choose(start_time + 300ms).who == coordinator_election::role::self);
    auto alone = make_election(5);
    CHECK(alone.choose(start_time).who == coordinator_election::role::self);
}

TEST_CASE("members that were told different others still agree on one", "[policy][election]") {
    // Machines were added, and then all machines were killed at once. At its start each process gets a list
    // of up to three members; the lists differ, and the added machines are on none of the older machines'
    // lists. Two groups that never learn of each other would each grant all slots.
    member_network network;
    network.add(37, {37, 13, 29});
    network.add(38, {37, 13, 29});
    network.add(13, {37, 13, 29});
    network.add(29, {37, 13, 29});
    network.add(39, {39, 14});
    network.add(14, {14, 38});
    network.run(6s);
    const auto chosen = network.chosen();
    CHECK(chosen.size() == 1);
    CHECK(network.coordinators() == 1);
}

TEST_CASE("an unresponsive member that was learned from other members is forgotten", "[policy][election]") {
    auto election = make_election(5);
    CHECK(election.learn(1, start_time));
    CHECK_FALSE(election.learn(1, start_time));
    CHECK(election.absent(start_time) == std::vector<member_key>{1});
    for (auto now = start_time; now < start_time + 31s; now += 50ms) {
        election.tick(now);
    }
    CHECK(election.absent(start_time + 31s).empty());
}

TEST_CASE("a process that was paused has to wait before it may coordinate again", "[policy][election]") {
    auto election = make_election(1);
    for (auto now = start_time; now <= start_time + 3s; now += 50ms) {
        election.tick(now);
    }
    CHECK(election.is_eligible(start_time + 3s));
    election.tick(start_time + 7s);
    CHECK_FALSE(election.is_eligible(start_time + 7s));
    CHECK(election.is_eligible(start_time + 9s));
}

TEST_CASE("heartbeats are sent to a few candidates only, also with hundreds of members",
          "[policy][election]") {
    auto election = make_election(500);
    const auto now = start_time + 1s;
    for (member_key member = 1; member <= 300; ++member) {
        election.add(member, 1);
    }
    CHECK(election.candidates(now).empty());
    CHECK(election.absent(now).size() == 300);
    for (member_key member = 1; member <= 300; ++member) {
        election.record_heartbeat(member, {1, false, true, false}, now);
    }
    CHECK(election.candidates(now) == std::vector<member_key>{1, 2, 3});
    CHECK(election.absent(now).empty());
}

TEST_CASE("a coordinator sends each member its grants and frees the slots of a lost member",
          "[coordination]") {
    slot_coordinator coordinator({.outstanding_per_slot = 1, .reserved_slots = 0}, {}, {});
    coordinator.scheduler().set_server(51, 7, 1);
    auto first = make_items(1);
    first.asks.front().avoided = {};
    first.asks.front().sends = 0;
    auto second = first;
    second.asks.front().ticket = 2;
    coordinator.apply_items(100, first, start_time);
    coordinator.apply_items(200, second, start_time);
    const auto grants = coordinator.decide(start_time);
    REQUIRE(grants.size() == 1);
    CHECK(grants.at(100).grants.front().ticket == 1);
    CHECK(coordinator.decide(start_time).empty());
    coordinator.detach(100, start_time);
    const auto after = coordinator.decide(start_time);
    REQUIRE(after.contains(200));
    CHECK(after.at(200).grants.front().ticket == 2);
}

TEST_CASE("a request that didn't run is not charged to its workspace", "[coordination]") {
    slot_coordinator coordinator({}, {.window = 8s, .tolerance = 0, .slack = 0}, {});
    coordinator.scheduler().set_server(51, 7, 8);
    coordinator.quotas().set_limit(9, {.rate = 100, .burst = 150}, start_time);
    const auto now = start_time + 10s;
    const auto request = [&](slot_ticket ticket) {
        auto items = make_items(ticket);
        items.asks.front().units = 100;
        items.asks.front().tier = 0;
        items.asks.front().arrived = now;
        items.asks.front().is_charged = false;
        items.asks.front().sends = 0;
        coordinator.apply_items(100, items, now);
        return coordinator.decide(now)[100];
    };
    REQUIRE(request(1).grants.size() == 1);
    REQUIRE(request(2).refusals.size() == 1);
    batch_items ended;
    ended.releases.push_back({1, 51, slot_outcome::refused, 1ms, {}});
    coordinator.apply_items(100, ended, now);
    CHECK(request(3).grants.size() == 1);
}

TEST_CASE("a late decision about an earlier slot request doesn't reach the request's next one",
          "[coordination]") {
    // It would be sent to a server of which the coordinator has given the slot to somebody else.
    local_requests requests;
    requests.add(make_slot_request(1), {});
    CHECK(requests.withdraw(1));
    requests.add(make_slot_request(2), {});
    CHECK_FALSE(requests.apply_grant({.ticket = 1, .server = 7}));
    requests.apply_refusal({.ticket = 1});
    CHECK(requests.find(2) != nullptr);
}
