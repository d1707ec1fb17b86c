// Tests how gateways learn of configurations and backend servers from the store, also during its outages.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;
using emulator::store_state;

namespace {

void set_store(gateway_site& site, store_state state) {
    site.on_emulator([&] { site.store().set_state(state); });
}

/// Returns a site whose calls to the store don't time out during a test.
site_options site_without_store_timeout(std::size_t servers, std::size_t gateways) {
    auto options = plain_site(servers, gateways);
    options.store_timeout = std::chrono::minutes(1);
    return options;
}

/// Makes the store unresponsive until it has lost each gateway's two open polls, and then available again.
void lose_open_polls(gateway_site& site, std::size_t gateways) {
    set_store(site, store_state::silent);
    wait_until("all polls are lost",
               [&] { return site.on_emulator([&] { return site.store().unanswered(); }) >= 2 * gateways; });
    set_store(site, store_state::available);
}

double store_gauge(const gateway_site& site, std::size_t gateway, const std::string& name,
                   const std::string& table) {
    const auto text = fetch_text(site.metrics(gateway), "/metrics");
    const auto line = "\nborageford_gateway_store_" + name + "{table=\"" + table + "\"} ";
    const auto found = text.find(line);
    return found == std::string::npos ? -1 : std::stod(text.substr(found + line.size()));
}

void wait_for_status(gateway_site& site, std::size_t gateway, const http::request& call, unsigned status) {
    wait_until("status " + std::to_string(status), [&] { return site.send(gateway, call).status == status; });
}

} // namespace

TEST_CASE("gateway: a revoked key is refused and the previous configuration never returns",
          "[gateway][configuration]") {
    // A leaked key was revoked. A gateway that returned to an older configuration, for instance from a stale
    // read after an outage, would accept it again.
    auto options = plain_site(1);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    gateway_site site(options);
    CHECK(site.send(0, keyed_call("a", "old-key")).status == 200);
    site.configure(with_key(base, 9, "new-key"));
    wait_for_status(site, 0, keyed_call("b", "new-key"), 200);
    CHECK(site.send(0, keyed_call("c", "old-key")).status == 401);
    site.configure(with_key(base, 5, "old-key"));
    site.configure(with_key(base, 10, "newest-key"));
    wait_for_status(site, 0, keyed_call("d", "newest-key"), 200);
    CHECK(site.send(0, keyed_call("e", "old-key")).status == 401);
}

TEST_CASE("gateway: a revoked key is refused at every gateway whether it polls the store or not",
          "[gateway][configuration]") {
    // Most gateways don't poll the store for changes. If one of them missed a version, it would still accept
    // the revoked key and refuse callers with the new one.
    constexpr std::size_t gateways = 8;
    auto options = plain_site(1, gateways);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    options.gateway_settings = "store_followers = 0\n"; // only the candidates for coordination poll the store
    gateway_site site(options);
    for (std::uint64_t version = 6; version < 10; ++version) {
        const auto key = "key-" + std::to_string(version);
        site.configure(with_key(base, version, key));
        for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
            wait_for_status(site, gateway, keyed_call("a", key), 200);
            CHECK(site.send(gateway, keyed_call("b", "old-key")).status == 401);
        }
    }
}

TEST_CASE("gateway: the store's calls per change don't grow with the number of gateways",
          "[gateway][configuration]") {
    // Servers register and drain all day, and each call to the store is paid for. When every gateway polled
    // for each change itself, the number of calls grew with the gateways; now a few poll and report the
    // changes to the others.
    constexpr std::size_t gateways = 8;
    auto options = plain_site(1, gateways);
    options.gateway_settings = "store_followers = 0\n"; // only the candidates for coordination poll the store
    gateway_site site(options);
    const auto change = [&](std::size_t index) {
        const auto id = "server-" + std::to_string(index);
        site.start_backend(index, plain_backend(id));
        wait_until("all gateways know " + id, [&] {
            for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
                const auto text = site.process(gateway).output_text();
                if (text.find("\"backend\":\"" + id + "\"") == std::string::npos) {
                    return false;
                }
            }
            return true;
        });
    };
    change(1); // ends the polls that every gateway has open since its start
    change(2);
    const auto before = site.on_emulator([&] { return site.store().calls(); });
    constexpr std::size_t changes = 6;
    for (std::size_t index = 3; index < 3 + changes; ++index) {
        change(index);
    }
    CHECK(site.on_emulator([&] { return site.store().calls(); }) - before < gateways * changes);
}

TEST_CASE("gateway: a configuration that can't be decoded changes nothing", "[gateway][configuration]") {
    // A faulty tool writes half a document. Keeping the last valid configuration is better than refusing
    // every request.
    gateway_site site(plain_site(1));
    site.on_emulator([&] {
        store::transaction change;
        change.puts.push_back({"op/config", R"({"version": 7, "routes": [{"name")"});
        static_cast<void>(site.store().rows().transact(change));
    });
    for (int index = 0; index < 5; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "call-" + std::to_string(index))).status == 200);
    }
}

TEST_CASE("gateway: rows are read again after the store has dropped its history",
          "[gateway][configuration]") {
    // The store drops its history, for instance to save space. A gateway that only applied changes would
    // never learn of the dropped ones.
    auto options = plain_site(1);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    gateway_site site(options);
    set_store(site, store_state::busy);
    site.configure(with_key(base, 6, "new-key"));
    site.on_emulator([&] { site.store().rows().forget_history(); });
    set_store(site, store_state::available);
    wait_for_status(site, 0, keyed_call("a", "new-key"), 200);
}

TEST_CASE("gateway: rows are read again only once after the store has dropped its history",
          "[gateway][configuration]") {
    // The store drops its history while backend servers register. A gateway that kept polling from a dropped
    // version would send thousands of polls per second, and the store would refuse all gateways.
    gateway_site site(plain_site(3));
    const auto knows = [&](const std::string& id) {
        return site.process(0).output_text().find("\"backend\":\"" + id + "\"") != std::string::npos;
    };
    set_store(site, store_state::busy);
    wait_until("the outage is logged",
               [&] { return site.process(0).output_text().find(R"("store_lost")") != std::string::npos; });
    site.start_backend(3, plain_backend("server-3"));
    const auto before = site.on_emulator([&] {
        site.store().rows().forget_history();
        site.store().set_state(store_state::available);
        return site.store().calls();
    });
    wait_until("the server that registered meanwhile is known", [&] { return knows("server-3"); });
    site.start_backend(4, plain_backend("server-4"));
    wait_until("the next server is known", [&] { return knows("server-4"); });
    CHECK(site.on_emulator([&] { return site.store().calls(); }) - before < 40);
}

TEST_CASE("gateway: requests are served during an outage of the store and its end is noticed",
          "[gateway][configuration]") {
    // The store is unreachable, refuses, resets connections or doesn't answer. Callers must not notice it,
    // and what was written in the meantime must be in force soon afterwards.
    const auto outage =
        GENERATE(store_state::busy, store_state::rate_limited, store_state::reset, store_state::silent);
    auto options = plain_site(1);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    gateway_site site(options);
    set_store(site, outage);
    for (int index = 0; index < 5; ++index) {
        CHECK(site.send(0, keyed_call("call-" + std::to_string(index), "old-key")).status == 200);
    }
    site.configure(with_key(base, 6, "new-key"));
    set_store(site, store_state::available);
    wait_for_status(site, 0, keyed_call("after", "new-key"), 200);
}

TEST_CASE("gateway: a change comes into force although the store lost the open polls",
          "[gateway][configuration]") {
    // The store is unresponsive for a moment and loses all open polls. No gateway may go on waiting for their
    // answers.
    constexpr std::size_t gateways = 3;
    auto options = site_without_store_timeout(1, gateways);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    gateway_site site(options);
    lose_open_polls(site, gateways);
    site.configure(with_key(base, 6, "new-key"));
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        wait_for_status(site, gateway, keyed_call("a", "new-key"), 200);
        CHECK(site.send(gateway, keyed_call("b", "old-key")).status == 401);
    }
}

TEST_CASE("gateway: a server is known to drain although the store lost the open polls",
          "[gateway][membership]") {
    // The same for backend servers: requests would be sent to a server that has shut down.
    constexpr std::size_t gateways = 3;
    gateway_site site(site_without_store_timeout(2, gateways));
    lose_open_polls(site, gateways);
    site.register_backend(0, "draining");
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        wait_until("the server is known to drain", [&] {
            const auto text = site.process(gateway).output_text();
            return text.find(R"("event":"backend_draining")") != std::string::npos;
        });
    }
}

TEST_CASE("gateway: its metrics distinguish an unresponsive store from one without changes",
          "[gateway][metrics]") {
    // During an incident both looked the same: no log line, and the previous version in force.
    gateway_site site(site_without_store_timeout(1, 1));
    set_store(site, store_state::silent);
    for (const std::string table : {"op", "servers"}) {
        wait_until("the last answer is old and a poll is open", [&] {
            return store_gauge(site, 0, "answer_age_seconds", table) > 1 &&
                   store_gauge(site, 0, "question_age_seconds", table) > 1;
        });
    }
}

TEST_CASE("gateway: only one gateway polls the store for confirmations", "[gateway][configuration]") {
    // Each poll is a call that is paid for, and hundreds of gateways that poll for confirmations would
    // overload the store.
    constexpr std::size_t gateways = 3;
    constexpr double min_unpolled_seconds = 5;
    gateway_site site(plain_site(1, gateways));
    for (const std::string table : {"op", "servers"}) {
        wait_until("all gateways but one have stopped polling", [&] {
            std::size_t unpolled = 0;
            for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
                const auto age = store_gauge(site, gateway, "answer_age_seconds", table);
                unpolled += age > min_unpolled_seconds ? 1 : 0;
            }
            return unpolled == gateways - 1;
        });
    }
}

TEST_CASE("gateway: a gateway that never reached the store gets its state from a peer",
          "[gateway][configuration]") {
    // The store refuses one machine, possibly for hours. The callers of its gateway would be refused, or sent
    // to removed servers, although another gateway has the current state.
    gateway_site site(plain_site(2, 2));
    site.process(1).kill();
    set_store(site, store_state::busy);
    site.start_gateway(1);
    site.wait_until_ready(1);
    CHECK(site.send(1, make_call("/plain/x", "by-peer")).status == 200);
}

TEST_CASE("gateway: a draining server gets no new requests and finishes the running ones",
          "[gateway][membership]") {
    // A server announces that it drains. A request sent to it afterwards would be lost when it exits.
    gateway_site site(plain_site(2));
    site.register_backend(0, "draining");
    site.start_backend(2, plain_backend("marker"));
    wait_until("the change has arrived", [&] {
        static_cast<void>(site.send(0, make_call("/plain/x", "probe")));
        return site.runs_of("probe", 2) > 0;
    });
    for (int index = 0; index < 10; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id, 0) == 0);
    }
}

TEST_CASE("gateway: an address that was given to another service isn't mistaken for the previous server",
          "[gateway][membership]") {
    // A server was removed, and its address was given to a server of another service before the gateways
    // learned of it. A request sent there would run at the wrong service.
    gateway_site site(plain_site(1));
    site.on_emulator([&] {
        // The registration of a removed server, with the address of a running one.
        const auto row = site.store().rows().read("servers/server-0");
        store::transaction change;
        change.puts.push_back({"servers/gone", row->value});
        static_cast<void>(site.store().rows().transact(change));
    });
    for (int index = 0; index < 10; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id) == 1);
    }
}

TEST_CASE("gateway: a crashed server causes no failed requests while another one runs",
          "[gateway][membership]") {
    // A crashed server refuses connections at once, so it always seems to have free slots and would attract
    // every request.
    gateway_site site(plain_site(2));
    site.stop_backend(0);
    for (int index = 0; index < 30; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "call-" + std::to_string(index))).status == 200);
    }
}

TEST_CASE("gateway: registrations that expired during an outage of the store don't empty the service",
          "[gateway][membership]") {
    // During an outage the store counts missing heartbeats and removes the registrations, until the servers
    // register again a moment later. Refusing every request in between must be avoided.
    gateway_site site(plain_site(1));
    set_store(site, store_state::reset);
    static_cast<void>(site.send(0, make_call("/plain/x", "during")));
    wait_until("the outage is noticed", [&] {
        return site.process(0).output_text().find(R"("event":"store_lost")") != std::string::npos;
    });
    site.unregister_backend(0);
    set_store(site, store_state::available);
    wait_until("the missing row is noticed", [&] {
        return site.process(0).output_text().find(R"("event":"backend_missed")") != std::string::npos;
    });
    CHECK(site.send(0, make_call("/plain/x", "missed")).status == 200);
    wait_until("a server that stays away is removed",
               [&] { return site.send(0, make_call("/plain/x", "gone")).status == 503; });
}
