// Tests of what gateways know about the software versions that began streams: the table of streams, the
// history of versions, and the exchange between gateways.
#include "coordination/stream_exchange.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace borageford::policy;
using namespace borageford::coordination;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;
constexpr duration lifetime = 30s;
constexpr duration tick_period = 50ms;
constexpr service_key engines = 7;
constexpr software_key old_version = 1;
constexpr software_key new_version = 2;

stream_origin origin_of(stream_key stream, software_key software, time_point noted = start_time) {
    return {stream, engines, software, noted};
}

/// Gateways with the same servers that exchange their stream_items directly.
class exchange_group {
public:
    /// `known_since`: see software_history; the same for all.
    exchange_group(member_key gateways, time_point known_since) : m_known_since(known_since) {
        for (member_key member = 1; member <= gateways; ++member) {
            restart(member);
        }
    }

    void restart(member_key member) {
        m_lost.erase(member);
        ++m_incarnations[member];
        m_gateways[member] = std::make_unique<stream_exchange>(
            lifetime, m_known_since,
            stream_exchange::environment{[this, member] { return others_of(member); },
                                         [this, member](member_key to, stream_items items) {
                                             ++m_sent;
                                             m_in_transit.push_back({member, to, std::move(items)});
                                         },
                                         access_of(member)});
        for (const auto& [server, software] : m_servers) {
            of(member).history().add(server, engines, software, m_now);
        }
    }
    /// The gateway's process ends.
    void lose(member_key member) { m_lost.insert(member); }
    /// Cuts a gateway off from all others and from the store, or reconnects it.
    void cut(member_key member) { m_cut.insert(member); }
    void heal(member_key member) { m_cut.erase(member); }
    /// Suspends a gateway: it does nothing, and goes on with what it knew.
    void freeze(member_key member) { m_frozen.insert(member); }
    void thaw(member_key member) { m_frozen.erase(member); }
    /// From now on the store answers nobody.
    void silence_store() { m_is_store_silent = true; }
    void add_server(server_key server, software_key software) {
        m_servers[server] = software;
        for (auto& [member, exchange] : m_gateways) {
            if (!m_cut.contains(member) && !m_frozen.contains(member)) {
                exchange->history().add(server, engines, software, m_now);
            }
        }
    }
    void remove_server(server_key server) {
        m_servers.erase(server);
        for (auto& [member, exchange] : m_gateways) {
            exchange->history().remove(server, m_now);
        }
    }

    /// Lets time pass, in which heartbeats with their replies are exchanged.
    void run_for(duration span) {
        for (const auto end = m_now + span; m_now < end; m_now += tick_period) {
            deliver_all();
            answer_checks();
            for (auto& [member, exchange] : m_gateways) {
                if (!m_lost.contains(member) && !m_frozen.contains(member)) {
                    exchange->tick(m_now);
                    tell_all(member);
                }
            }
        }
    }

    void begin_stream(member_key at, stream_key stream, software_key software, bool must_tell = false) {
        of(at).note(origin_of(stream, software, m_now), must_tell, m_now);
    }
    /// Asks a gateway for the origin of a stream and lets time pass until it has an answer.
    found_origin find(member_key at, stream_key stream) {
        std::optional<found_origin> result;
        of(at).find({stream, engines}, [&](const found_origin& found) { result = found; }, m_now);
        while (!result.has_value()) {
            run_for(tick_period);
        }
        return *result;
    }
    stream_exchange& of(member_key member) { return *m_gateways.at(member); }
    /// How many questions, and heartbeats with streams, were sent so far.
    [[nodiscard]] std::size_t sent() const { return m_sent; }

private:
    struct message {
        member_key from = 0;
        member_key to = 0;
        stream_items items;
    };

    [[nodiscard]] server_table_access access_of(member_key member) {
        return {[this, member] { return reaches_store(member); },
                [this, member](time_point since) {
                    const auto checked = m_checked.find(member);
                    return checked != m_checked.end() && checked->second >= since;
                },
                [this, member] {
                    m_checks.insert(member);
                }};
    }
    [[nodiscard]] bool reaches_store(member_key member) const {
        return !m_cut.contains(member) && !m_is_store_silent;
    }
    /// The store tells the gateways that have asked which servers there are.
    void answer_checks() {
        for (const auto member : std::exchange(m_checks, {})) {
            if (!reaches_store(member)) {
                continue;
            }
            for (const auto& [server, software] : m_servers) {
                of(member).history().add(server, engines, software, m_now);
            }
            m_checked[member] = m_now;
            of(member).handle_servers_checked(m_now);
        }
    }
    void deliver_all() {
        for (const auto& sent : std::exchange(m_in_transit, {})) {
            deliver(sent.from, sent.to, sent.items);
        }
    }
    std::vector<member_key> others_of(member_key member) const {
        std::vector<member_key> result;
        for (const auto& [other, exchange] : m_gateways) {
            if (other != member) {
                result.push_back(other);
            }
        }
        return result;
    }
    [[nodiscard]] bool can_reach(member_key from, member_key to) const {
        const auto is_away = [this](member_key member) {
            return m_lost.contains(member) || m_cut.contains(member) || m_frozen.contains(member);
        };
        return !is_away(from) && !is_away(to);
    }
    void deliver(member_key from, member_key to, const stream_items& items) {
        if (!can_reach(from, to)) {
            return;
        }
        const auto reply = of(to).receive(from, m_incarnations[from], items, m_now);
        static_cast<void>(of(from).receive(to, m_incarnations[to], reply, m_now));
    }
    void tell_all(member_key from) {
        for (const auto to : others_of(from)) {
            const auto items = of(from).take_for(to, m_now);
            m_sent += items.is_empty() ? 0 : 1;
            deliver(from, to, items);
        }
    }

    time_point m_known_since;
    time_point m_now = start_time;
    std::map<member_key, std::unique_ptr<stream_exchange>> m_gateways;
    std::map<member_key, std::uint64_t> m_incarnations;
    std::map<server_key, software_key> m_servers;
    std::set<member_key> m_lost;
    std::set<member_key> m_cut;
    std::set<member_key> m_frozen;
    bool m_is_store_silent = false;
    std::set<member_key> m_checks;              ///< the gateways that have asked the store
    std::map<member_key, time_point> m_checked; ///< when it last answered them
    std::size_t m_sent = 0;
    std::vector<message> m_in_transit;
};

/// A group of three gateways that has run for long, with a server of each version.
exchange_group group_with_two_versions() {
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.add_server(2, new_version);
    return group;
}

} // namespace

TEST_CASE("streams: two callers that use the same id leave it unknown which version began the stream",
          "[streams]") {
    stream_origin_table table(lifetime);
    table.add(origin_of(5, old_version), start_time);
    CHECK(table.find(5, start_time)->software == old_version);
    table.add(origin_of(5, new_version), start_time);
    CHECK(table.find(5, start_time)->software == 0);
    table.add(origin_of(5, new_version, start_time + 1s), start_time + 1s);
    CHECK(table.find(5, start_time + 1s)->software == 0);
}

TEST_CASE("streams: a stream is remembered from when it was last resumed, and the oldest go first",
          "[streams]") {
    stream_origin_table table(lifetime, 3);
    table.add(origin_of(1, old_version), start_time);
    table.add(origin_of(2, old_version), start_time + 1s);
    table.add(origin_of(1, old_version, start_time + 20s), start_time + 20s);
    CHECK(table.find(1, start_time + 45s).has_value());
    CHECK_FALSE(table.find(2, start_time + 45s).has_value());
    for (stream_key stream = 10; stream < 14; ++stream) {
        table.add(origin_of(stream, old_version, start_time + 45s), start_time + 45s);
    }
    CHECK(table.size() == 3);
    CHECK(table.dropped() == 2);
    CHECK_FALSE(table.find(10, start_time + 45s).has_value());
    CHECK(table.find(13, start_time + 45s).has_value());
}

TEST_CASE("streams: a version that has left is remembered for as long as a caller may come back",
          "[streams]") {
    software_history history(lifetime, time_point::min());
    history.add(1, engines, old_version, start_time);
    CHECK(history.only_version(engines, start_time) == old_version);
    history.add(2, engines, new_version, start_time);
    history.remove(1, start_time + 5s);
    CHECK_FALSE(history.only_version(engines, start_time + 35s).has_value());
    CHECK(history.only_version(engines, start_time + 36s) == new_version);
}

TEST_CASE("streams: a process that has just started doesn't take the version it finds for the only one",
          "[streams]") {
    software_history history(lifetime, start_time);
    history.add(1, engines, new_version, start_time);
    CHECK_FALSE(history.only_version(engines, start_time + 1s).has_value());
    history.settle(engines, old_version, start_time + 1s); // said by a process that has missed the new one
    CHECK_FALSE(history.only_version(engines, start_time + 1s).has_value());
    history.settle(engines, new_version, start_time + 1s); // contradicts it, so there were two
    CHECK_FALSE(history.only_version(engines, start_time + 1s).has_value());
}

TEST_CASE("streams: a process that has just started believes one that knows a single version", "[streams]") {
    software_history history(lifetime, start_time);
    history.add(1, engines, new_version, start_time);
    history.settle(engines, new_version, start_time + 1s);
    CHECK(history.only_version(engines, start_time + 1s) == new_version);
    history.interrupt(start_time + 2s);
    CHECK_FALSE(history.only_version(engines, start_time + 3s).has_value());
}

TEST_CASE("streams: a recorded version that has been replaced since may have begun streams, too",
          "[streams]") {
    // Guards against taking the version that servers have after a start for the only one that there was.
    software_history history(lifetime, start_time);
    history.settle(engines, old_version, start_time);
    history.add(1, engines, new_version, start_time + 1s);
    CHECK_FALSE(history.only_version(engines, start_time + 1s).has_value());
    CHECK_FALSE(history.only_version(engines, start_time + lifetime).has_value());
    CHECK(history.only_version(engines, start_time + lifetime + 1s) == new_version);
}

TEST_CASE("streams: a version that nobody knows isn't taken for the only one", "[streams]") {
    // Guards against resuming a stream anywhere, since the record holds nothing but the mark of a lost one.
    software_history history(lifetime, start_time);
    history.settle(engines, 0, start_time);
    CHECK_FALSE(history.only_version(engines, start_time).has_value());
}

TEST_CASE("streams: the origin is known at all gateways after the one where the stream began is lost",
          "[streams]") {
    auto group = group_with_two_versions();
    group.begin_stream(1, 5, new_version);
    group.begin_stream(1, 6, old_version);
    group.run_for(100ms);
    group.lose(1);
    for (const member_key gateway : {2, 3}) {
        CHECK(group.find(gateway, 5).software == new_version);
        CHECK(group.find(gateway, 6).software == old_version);
        CHECK(group.find(gateway, 7).source == origin_source::unknown);
    }
    group.restart(1);
    group.run_for(100ms);
    CHECK(group.find(1, 5).software == new_version);
    CHECK(group.find(1, 5).source == origin_source::other_gateway);
}

TEST_CASE("streams: one that began before a second version showed up is told then", "[streams]") {
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    for (stream_key stream = 1; stream <= 100; ++stream) {
        group.begin_stream(1, stream, old_version);
    }
    group.run_for(1s);
    CHECK(group.sent() == 0);
    group.add_server(2, new_version);
    group.run_for(1s);
    group.lose(1);
    CHECK(group.find(2, 1).software == old_version);
    CHECK(group.find(3, 100).source == origin_source::here);
}

TEST_CASE("streams: a process that has replaced a keeper is told all streams anew", "[streams]") {
    auto group = group_with_two_versions();
    group.begin_stream(1, 5, new_version);
    group.run_for(100ms);
    for (const member_key gateway : {2, 3}) {
        group.lose(gateway);
        group.restart(gateway);
    }
    group.begin_stream(1, 6, old_version);
    group.run_for(200ms);
    group.lose(1);
    CHECK(group.find(2, 5).software == new_version);
    CHECK(group.find(3, 6).software == old_version);
}

TEST_CASE("streams: a gateway that is cut off knows its own ones only, and all others after the cut",
          "[streams]") {
    // It may believe that there is one version only, while another one serves elsewhere.
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.run_for(1s);
    group.cut(3);
    group.begin_stream(3, 5, old_version);
    group.add_server(2, new_version);
    group.begin_stream(1, 6, new_version);
    group.run_for(1s);
    CHECK(group.find(3, 5).software == old_version);
    CHECK(group.find(3, 6).source == origin_source::unknown);
    CHECK(group.find(1, 5).source == origin_source::unknown);
    group.heal(3);
    group.of(3).history().add(2, engines, new_version, start_time + 3s);
    group.run_for(200ms);
    CHECK(group.find(3, 6).software == new_version);
    CHECK(group.find(1, 5).software == old_version);
}

TEST_CASE("streams: a gateway that stood still doesn't take the version that it knows for the only one",
          "[streams]") {
    // Guards against resuming a stream at another version while a gateway hasn't learned of the stream's own.
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.run_for(1s);
    group.freeze(3);
    group.add_server(2, new_version);
    group.begin_stream(1, 5, new_version);
    group.run_for(200ms);
    group.thaw(3);
    CHECK(group.find(3, 5).software == new_version);
    CHECK(group.find(3, 6).source == origin_source::unknown);
}

TEST_CASE("streams: while the store is silent no version is taken for the only one", "[streams]") {
    // Guards against resuming a stream at another version that joins where the store can be reached.
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.run_for(1s);
    group.silence_store();
    group.begin_stream(1, 5, old_version);
    CHECK(group.find(2, 5).software == old_version); // the gateway where it began is asked
    CHECK(group.find(2, 6).source == origin_source::unknown);
    CHECK(group.find(1, 6).source == origin_source::unknown);
}

TEST_CASE("streams: with one software version nothing is sent, and any stream may go on at it", "[streams]") {
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.add_server(2, old_version);
    for (stream_key stream = 1; stream <= 50; ++stream) {
        group.begin_stream(1, stream, old_version);
        group.run_for(50ms);
    }
    CHECK(group.find(2, 50).source == origin_source::one_version);
    CHECK(group.find(3, 51).software == old_version);
    CHECK(group.sent() == 0);
}

TEST_CASE("streams: a gateway that has just started asks once whether there has been one version only",
          "[streams]") {
    exchange_group group(3, time_point::min());
    group.add_server(1, old_version);
    group.run_for(1s);
    exchange_group fresh(3, start_time); // all of them have just started
    fresh.add_server(1, old_version);
    fresh.begin_stream(1, 5, old_version);
    fresh.run_for(1s);
    fresh.lose(1);
    CHECK(fresh.find(2, 5).software == old_version);
    CHECK(fresh.find(2, 6).source == origin_source::unknown);
    fresh.run_for(lifetime);
    CHECK(fresh.find(2, 7).source == origin_source::one_version);
}
