// Tests which requests are marked when servers crash, when these are quarantined, and what gateways tell each
// other of it.
#include "coordination/crash_exchange.hpp"
#include "coordination/slot_coordinator.hpp"
#include "policy/crash_ledger.hpp"
#include "policy/crash_suspects.hpp"
#include "policy/recent_answers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

using namespace borageford::policy;
using namespace std::chrono_literals;
using borageford::coordination::batch_items;
using borageford::coordination::crash_exchange;
using borageford::coordination::slot_coordinator;

namespace {

const time_point start_time{1000s};

crash_suspect request(std::uint64_t fingerprint) {
    return {suspect_kind::request, fingerprint};
}

crash_suspect part(std::uint64_t key) {
    return {suspect_kind::prompt_part, key};
}

slot_request wanted_request(slot_ticket ticket, std::uint64_t fingerprint) {
    slot_request result;
    result.ticket = ticket;
    result.service = 7;
    result.arrived = start_time;
    result.deadline = start_time + 10min;
    result.target = 5min;
    result.fingerprint = fingerprint;
    return result;
}

/// The suspects of one gateway, and the ledger into which it enters its marks.
class watched_servers {
public:
    void break_off(std::uint64_t fingerprint, server_key server, time_point now) {
        end(fingerprint, server, unanswered_end::broken, now);
    }
    void abandon(std::uint64_t fingerprint, server_key server, time_point now) {
        end(fingerprint, server, unanswered_end::abandoned, now);
    }
    void crash(server_key server, time_point now) { mark(suspects.record_crash(server, now), server, now); }
    void remove(server_key server, time_point now) {
        mark(suspects.record_removal(server, now), server, now);
    }
    [[nodiscard]] bool is_quarantined(std::uint64_t fingerprint, time_point now) const {
        return ledger.quarantine_left(request(fingerprint), now).has_value();
    }

    crash_suspects suspects;
    crash_ledger ledger;

private:
    void end(std::uint64_t fingerprint, server_key server, unanswered_end how, time_point now) {
        const std::array ended{request(fingerprint)};
        if (suspects.record_end(server, ended, how, now)) {
            mark({ended.begin(), ended.end()}, server, now);
        }
    }
    void mark(const std::vector<crash_suspect>& marked, server_key server, time_point now) {
        for (const auto& suspect : marked) {
            ledger.add({suspect, server, now, 0}, now);
        }
    }
};

/// Knows nothing of other gateways but what the test tells it.
struct knowing_gateway {
    explicit knowing_gateway(member_key self)
        : exchange(ledger, self,
                   {[](const crash_mark&, crash_ledger::change) {},
                    [](const crash_clearance&) {
                    }}) {}

    crash_ledger ledger;
    crash_exchange exchange;
};

std::vector<crash_mark> marks_of(const crash_suspect& suspect, std::size_t servers) {
    std::vector<crash_mark> result;
    for (std::size_t server = 1; server <= servers; ++server) {
        result.push_back({suspect, server, start_time + server * 100ms, 1});
    }
    return result;
}

} // namespace

TEST_CASE("a request that was running on two servers when they crashed is quarantined",
          "[policy][crash_suspects]") {
    // One prompt crashes every engine that processes it, and the requests that run there at the same time are
    // aborted too.
    watched_servers watched;
    watched.break_off(666, 1, start_time);
    watched.break_off(42, 1, start_time);
    watched.crash(1, start_time + 10ms);
    CHECK_FALSE(watched.is_quarantined(666, start_time + 20ms));
    watched.break_off(666, 2, start_time + 1s);
    watched.break_off(43, 2, start_time + 1s);
    CHECK_FALSE(watched.is_quarantined(666, start_time + 1s));
    watched.crash(2, start_time + 1100ms);
    CHECK(watched.is_quarantined(666, start_time + 2s));
    CHECK_FALSE(watched.is_quarantined(42, start_time + 2s));
    CHECK_FALSE(watched.is_quarantined(43, start_time + 2s));
    CHECK_FALSE(watched.is_quarantined(666, start_time + 2min));
}

TEST_CASE("a request that crashes servers is quarantined even if they restart at once",
          "[policy][crash_suspects]") {
    // A server restarts under its old id before any request finds it gone, so only the new start shows that
    // it crashed, and an unresponsive connection is noticed only after that. Otherwise the request would
    // crash one server after the other, with all answers that are being generated there.
    watched_servers watched;
    watched.break_off(666, 1, start_time);
    watched.crash(1, start_time + 10ms);
    watched.crash(2, start_time + 900ms);
    watched.break_off(666, 2, start_time + 1s);
    CHECK(watched.is_quarantined(666, start_time + 1s));
    watched.break_off(42, 2, start_time + 1s);
    CHECK_FALSE(watched.is_quarantined(42, start_time + 1s));
}

TEST_CASE("requests that were aborted long before a server was found gone aren't quarantined",
          "[policy][crash_suspects]") {
    watched_servers watched;
    for (std::uint64_t server = 1; server < 4; ++server) {
        watched.break_off(42, server, start_time);
        watched.crash(server, start_time + 10s);
    }
    CHECK_FALSE(watched.is_quarantined(42, start_time + 10s));
}

TEST_CASE("requests that broke off at a server that lives aren't quarantined when it crashes later",
          "[policy][crash_suspects]") {
    // Three answers are lost on the way, and each server crashes for another reason a moment later.
    watched_servers watched;
    for (std::uint64_t server = 1; server < 4; ++server) {
        watched.break_off(42, server, start_time);
        watched.suspects.record_alive(server, start_time - 1s, start_time + 10ms);
        watched.crash(server, start_time + 20ms);
    }
    CHECK_FALSE(watched.is_quarantined(42, start_time + 1s));
}

TEST_CASE("an answer on a new connection doesn't clear a request that crashed the former start",
          "[policy][crash_suspects]") {
    watched_servers watched;
    for (std::uint64_t server = 1; server < 3; ++server) {
        watched.break_off(666, server, start_time);
        watched.suspects.record_alive(server, start_time + 5ms, start_time + 10ms);
        watched.crash(server, start_time + 20ms);
    }
    CHECK(watched.is_quarantined(666, start_time + 1s));
}

TEST_CASE("a request whose caller left shortly before its server crashed is marked",
          "[policy][crash_suspects]") {
    watched_servers watched;
    for (std::uint64_t server = 1; server < 3; ++server) {
        watched.abandon(666, server, start_time);
        watched.suspects.record_alive(server, start_time - 1s, start_time + 100ms);
        watched.crash(server, start_time + 400ms);
    }
    CHECK(watched.is_quarantined(666, start_time + 1s));
}

TEST_CASE("a server that leaves marks none of its requests", "[policy][crash_suspects]") {
    // A roll-out replaces the servers one after the other. The first ones announce it, the others' entries
    // are removed while they go on serving.
    watched_servers watched;
    for (std::uint64_t server = 1; server < 3; ++server) {
        watched.break_off(42, server, start_time);
        watched.suspects.record_leaving(server);
        watched.crash(server, start_time + 1s);
    }
    for (std::uint64_t server = 3; server < 5; ++server) {
        watched.remove(server, start_time);
        watched.break_off(42, server, start_time + 1s);
    }
    CHECK_FALSE(watched.is_quarantined(42, start_time + 1s));
}

TEST_CASE("a request that has crashed a third server stays quarantined for an hour",
          "[policy][crash_ledger]") {
    crash_ledger ledger;
    for (const auto& mark : marks_of(request(666), 2)) {
        ledger.add(mark, mark.at);
    }
    CHECK(ledger.quarantine_left(request(666), start_time + 59s));
    CHECK_FALSE(ledger.quarantine_left(request(666), start_time + 61s));
    ledger.add({request(666), 3, start_time + 62s, 1}, start_time + 62s);
    CHECK(ledger.quarantine_left(request(666), start_time + 59min));
    CHECK_FALSE(ledger.quarantine_left(request(666), start_time + 62min));
}

TEST_CASE("marks count once and are void before a clearance, in whatever order they arrive",
          "[policy][crash_ledger]") {
    const auto marks = marks_of(request(42), 3);
    const crash_clearance cleared{request(42), start_time + 250ms, 2}; // after the second mark
    std::vector<std::size_t> order{0, 1, 2, 3};
    do {
        crash_ledger ledger;
        for (const auto index : order) {
            if (index < marks.size()) {
                ledger.add(marks[index], start_time + 1s);
                ledger.add(marks[index], start_time + 1s);
            } else {
                ledger.clear(cleared);
            }
        }
        CHECK_FALSE(ledger.quarantine_left(request(42), start_time + 1s));
    } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("the numbers of marks and clearances are bounded", "[policy][crash_ledger]") {
    crash_ledger ledger;
    for (std::uint64_t key = 1; key <= 10000; ++key) {
        ledger.add({request(key), 1, start_time, 1}, start_time);
        ledger.clear({request(key + 20000), start_time, 1});
    }
    CHECK(ledger.size() <= 4096);
    CHECK(ledger.dropped() == 10000 - ledger.size());
    const auto stated = ledger.state(start_time);
    CHECK(stated.marks.size() == crash_ledger::max_stated);
    CHECK(stated.clearances.size() == crash_ledger::max_stated);
}

TEST_CASE("a gateway that starts is told of quarantined requests rather than of others",
          "[policy][crash_ledger]") {
    // A rack goes down after the request was quarantined, with hundreds of requests that are marked once.
    crash_ledger ledger;
    for (const auto& mark : marks_of(request(666), 2)) {
        ledger.add(mark, mark.at);
    }
    for (std::uint64_t key = 1000; key < 2000; ++key) {
        ledger.add({request(key), 7, start_time + 2s, 1}, start_time + 2s);
    }
    knowing_gateway started(9);
    static_cast<void>(started.exchange.merge(ledger.state(start_time + 3s), start_time + 3s));
    CHECK(started.ledger.quarantine_left(request(666), start_time + 3s));
}

TEST_CASE("gateways pass on what is news, and only that", "[coordination][crash_exchange]") {
    knowing_gateway first(1);
    knowing_gateway second(2);
    const std::array suspects{request(666)};
    const auto told = first.exchange.observe_crash(5, suspects, start_time);
    CHECK(told.marks.size() == 1);
    CHECK(second.exchange.merge(told, start_time).marks.size() == 1);
    CHECK(second.exchange.merge(told, start_time).is_empty());
    CHECK(first.exchange.merge(told, start_time).is_empty());
    CHECK(second.exchange.recent(start_time + 100ms).marks.size() == 1);
    CHECK(second.exchange.recent(start_time + 2s).is_empty());
}

TEST_CASE("a rack that goes down doesn't flood the members, and hides no quarantine",
          "[coordination][crash_exchange]") {
    knowing_gateway coordinator(1);
    knowing_gateway member(2);
    std::size_t told = 0;
    for (std::uint64_t key = 1000; key < 1500; ++key) {
        const std::array suspects{request(key)};
        const auto news = coordinator.exchange.observe_crash(7, suspects, start_time);
        told += coordinator.exchange.select_for_members(news, start_time).marks.size();
    }
    CHECK(told == 0);
    for (server_key server = 7; server < 9; ++server) {
        const std::array suspects{request(666)};
        const auto news = coordinator.exchange.observe_crash(server, suspects, start_time);
        static_cast<void>(
            member.exchange.merge(coordinator.exchange.select_for_members(news, start_time), start_time));
    }
    CHECK(member.ledger.quarantine_left(request(666), start_time));
}

TEST_CASE("a coordinator remembers a bounded number of suspects that it told, the latest ones",
          "[coordination][crash_exchange]") {
    knowing_gateway coordinator(1);
    constexpr std::uint64_t first = 1000;
    const auto last = first + crash_exchange::max_told;
    for (auto key = first; key <= last; ++key) {
        const std::array suspects{request(key)};
        for (server_key server = 7; server < 9; ++server) {
            const auto news = coordinator.exchange.observe_crash(server, suspects, start_time);
            static_cast<void>(coordinator.exchange.select_for_members(news, start_time));
        }
    }
    const auto told_clearances = [&](std::uint64_t key) {
        const std::array suspects{request(key)};
        const auto news = coordinator.exchange.clear(suspects, start_time + 1s);
        return coordinator.exchange.select_for_members(news, start_time + 1s).clearances.size();
    };
    CHECK(told_clearances(first) == 0);
    CHECK(told_clearances(first + 1) == 1);
    CHECK(told_clearances(last) == 1);
}

TEST_CASE("what one gateway's servers answered clears the marks of another",
          "[coordination][crash_exchange]") {
    // A popular request runs on two servers when something else crashes them.
    knowing_gateway crashed(1);
    knowing_gateway served(2);
    const std::array suspects{request(42)};
    static_cast<void>(served.exchange.observe_answer(suspects, start_time));
    for (server_key server = 1; server < 3; ++server) {
        const auto at = start_time + server * 100ms;
        const auto told = crashed.exchange.observe_crash(server, suspects, at);
        const auto answer = served.exchange.merge(told, at);
        CHECK(answer.clearances.size() == 1);
        static_cast<void>(crashed.exchange.merge(answer, at + 1ms));
    }
    CHECK_FALSE(served.ledger.quarantine_left(suspects[0], start_time + 1s));
    CHECK_FALSE(crashed.ledger.quarantine_left(suspects[0], start_time + 1s));
}

TEST_CASE("one copy of a suspected request runs at a time", "[coordination][slot_coordinator]") {
    // A popular page crashes nothing, but was running on a server that crashed.
    slot_coordinator coordinator({}, {}, {}, 1, start_time);
    coordinator.scheduler().set_server(1, 7, 16, 0);
    coordinator.crashes().add({request(666), 9, start_time, 1}, start_time);
    const auto ask = [&](slot_ticket ticket, std::uint64_t fingerprint) {
        batch_items items;
        items.asks.push_back(wanted_request(ticket, fingerprint));
        coordinator.apply_items(3, items, start_time);
        return coordinator.decide(start_time).at(3);
    };
    CHECK(ask(1, 666).grants.size() == 1);
    CHECK(ask(2, 666).refusals.size() == 1);
    CHECK(ask(3, 42).grants.size() == 1);
    batch_items ended;
    ended.releases.push_back({1, 1, slot_outcome::served, 10ms, 5ms});
    coordinator.apply_items(3, ended, start_time);
    CHECK(ask(4, 666).grants.size() == 1);
    coordinator.crashes().clear({request(666), start_time + 1ms, 1});
    CHECK(ask(5, 666).grants.size() == 1);
}

TEST_CASE("a suspected request is retried although its former slot isn't released yet",
          "[coordination][slot_coordinator]") {
    // It ran beside another one that crashed the server. Its gateway sends the release and the new slot
    // request together.
    slot_coordinator coordinator({}, {}, {.ratio = 1, .reserve = 10}, 1, start_time);
    coordinator.retry_budget().knowledge().assume_nothing_before(start_time);
    coordinator.scheduler().set_server(1, 7, 16, 0);
    coordinator.scheduler().set_server(2, 7, 16, 0);
    batch_items first;
    first.asks.push_back(wanted_request(1, 42));
    coordinator.apply_items(3, first, start_time);
    const auto server = coordinator.decide(start_time).at(3).grants.at(0).server;
    coordinator.crashes().add({request(42), server, start_time, 3}, start_time);
    batch_items again;
    again.asks.push_back(wanted_request(2, 42));
    again.asks.back().sends = 1;
    again.releases.push_back({1, server, slot_outcome::broken, 10ms, {}});
    coordinator.apply_items(3, again, start_time);
    CHECK(coordinator.decide(start_time).at(3).grants.size() == 1);
}

TEST_CASE("requests that wait for slots are refused once they are quarantined",
          "[coordination][slot_coordinator]") {
    slot_coordinator coordinator({}, {}, {}, 1, start_time);
    batch_items items;
    for (slot_ticket ticket = 1; ticket <= 9; ++ticket) {
        items.asks.push_back(wanted_request(ticket, ticket <= 8 ? 666 : 42));
    }
    coordinator.apply_items(3, items, start_time);
    static_cast<void>(coordinator.decide(start_time));
    for (const auto& mark : marks_of(request(666), 2)) {
        coordinator.crashes().add(mark, mark.at);
    }
    coordinator.refuse_suspects(start_time + 300ms);
    coordinator.scheduler().set_server(1, 7, 16, 0);
    const auto decided = coordinator.decide(start_time + 301ms);
    REQUIRE(decided.contains(3));
    CHECK(decided.at(3).refusals.size() == 8);
    REQUIRE(decided.at(3).grants.size() == 1);
    CHECK(decided.at(3).grants.front().ticket == 9);
}

TEST_CASE("a part is quarantined after three crashes, whatever else the requests held",
          "[policy][crash_ledger]") {
    crash_ledger ledger;
    const auto marks = marks_of(part(9), 3);
    ledger.add(marks[0], marks[0].at);
    ledger.add(marks[1], marks[1].at);
    CHECK_FALSE(ledger.quarantine_left(part(9), start_time + 1s));
    ledger.add(marks[2], marks[2].at);
    CHECK(ledger.quarantine_left(part(9), start_time + 1s));
    CHECK_FALSE(ledger.quarantine_left(request(9), start_time + 1s));
    CHECK_FALSE(ledger.quarantine_left(part(8), start_time + 1s));
}

TEST_CASE("a quarantined part is probed, and less often after each probe that crashed a server",
          "[policy][crash_ledger]") {
    crash_ledger ledger;
    for (const auto& mark : marks_of(part(9), 3)) {
        ledger.add(mark, mark.at);
    }
    const auto quarantined = start_time + 300ms;
    CHECK_FALSE(ledger.is_probe_due(part(9), quarantined + 9s));
    CHECK(ledger.is_probe_due(part(9), quarantined + 10s));
    ledger.add({part(9), 4, quarantined + 11s, 1}, quarantined + 11s);
    CHECK_FALSE(ledger.is_probe_due(part(9), quarantined + 70s));
    CHECK(ledger.is_probe_due(part(9), quarantined + 71s));
    ledger.add({part(9), 5, quarantined + 72s, 1}, quarantined + 72s);
    CHECK_FALSE(ledger.is_probe_due(part(9), quarantined + 72s + 359s));
    CHECK_FALSE(ledger.is_probe_due(part(8), quarantined + 10s));
    CHECK_FALSE(ledger.is_probe_due(request(9), quarantined + 10s));
}

TEST_CASE("a popular part that is in every crash isn't quarantined", "[coordination][crash_exchange]") {
    // The first part of the route's prompts is in the requests that crash servers, and in all others, of
    // which some are answered at another gateway.
    knowing_gateway crashed(1);
    knowing_gateway served(2);
    const std::array fatal{part(1), part(666)};
    const std::array sound{part(1), part(2)};
    for (server_key server = 1; server < 6; ++server) {
        const auto at = start_time + server * 500ms;
        static_cast<void>(served.exchange.observe_answer(sound, at - 100ms));
        const auto told = crashed.exchange.observe_crash(server, fatal, at);
        static_cast<void>(crashed.exchange.merge(served.exchange.merge(told, at), at));
    }
    for (const auto* ledger : {&crashed.ledger, &served.ledger}) {
        CHECK_FALSE(ledger->quarantine_left(part(1), start_time + 3s));
        CHECK(ledger->quarantine_left(part(666), start_time + 3s));
    }
}

TEST_CASE("an operator's release ends a quarantine everywhere", "[coordination][crash_exchange]") {
    knowing_gateway first(1);
    knowing_gateway second(2);
    const std::array suspects{part(9)};
    for (server_key server = 1; server < 4; ++server) {
        const auto at = start_time + server * 100ms;
        static_cast<void>(second.exchange.merge(first.exchange.observe_crash(server, suspects, at), at));
    }
    REQUIRE(second.ledger.quarantine_left(part(9), start_time + 1s));
    static_cast<void>(
        second.exchange.merge(first.exchange.clear(suspects, start_time + 1s), start_time + 1s));
    CHECK_FALSE(first.ledger.quarantine_left(part(9), start_time + 2s));
    CHECK_FALSE(second.ledger.quarantine_left(part(9), start_time + 2s));
}

TEST_CASE("a coordinator accepts one probe of a part at a time, and a gateway on its own none",
          "[coordination][slot_coordinator]") {
    slot_coordinator coordinator({}, {}, {}, 1, start_time);
    coordinator.scheduler().set_server(1, 7, 16, 0);
    for (const auto& mark : marks_of(part(9), 3)) {
        coordinator.crashes().add(mark, mark.at);
    }
    slot_ticket last_ticket = 0;
    const auto grants_probe = [&](time_point now) {
        batch_items items;
        ++last_ticket;
        items.asks.push_back(wanted_request(last_ticket, last_ticket));
        items.asks.back().probed_part = 9;
        coordinator.apply_items(3, items, now);
        return !coordinator.decide(now).at(3).grants.empty();
    };
    CHECK_FALSE(grants_probe(start_time + 20s));
    coordinator.set_accepting_probes(true);
    CHECK_FALSE(grants_probe(start_time + 5s));
    CHECK(grants_probe(start_time + 20s));
    CHECK_FALSE(grants_probe(start_time + 21s));
    coordinator.crashes().add({part(9), 8, start_time + 22s, 1}, start_time + 22s);
    CHECK_FALSE(grants_probe(start_time + 40s));
    CHECK(grants_probe(start_time + 90s));
}
