// Tests of backend_roster and backend_directory: updates exchanged between gateways, and registrations that
// restart, vanish or can't be decoded. Also tests send_budget.
#include "base/hash.hpp"
#include "gateway/send_budget.hpp"
#include "policy/slot_request.hpp"
#include "support/known_servers.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>

using namespace borageford;
using namespace borageford::gateway;
using test::known_servers;

TEST_CASE("a gateway without registrations gets a whole update", "[gateway][roster]") {
    known_servers ahead;
    ahead.register_server("a", 3);
    ahead.register_server("b", 4);
    const auto update = ahead.roster().changes_after({});
    CHECK(update.is_complete);
    known_servers behind;
    behind.register_server("left long ago", 1);
    behind.roster().apply_update(update);
    CHECK(behind.has_server("a"));
    CHECK(behind.has_server("b"));
    CHECK_FALSE(behind.has_server("left long ago"));
    CHECK(behind.roster().position() == store::position{0, 4});
}

TEST_CASE("a gateway that is slightly behind gets only the changes", "[gateway][roster]") {
    // With thousands of servers and hundreds of gateways, sending all registrations for each change saturated
    // the network links.
    known_servers ahead;
    known_servers behind;
    for (int index = 0; index < 100; ++index) {
        ahead.register_server("server-" + std::to_string(index), 10 + index);
        behind.register_server("server-" + std::to_string(index), 10 + index);
    }
    ahead.unregister_server("server-7", 200);
    ahead.register_server("server-8", 201);
    ahead.register_server("new", 202);
    const auto update = ahead.roster().changes_after(behind.roster().position());
    CHECK_FALSE(update.is_complete);
    CHECK(update.present.size() == 2);
    CHECK(update.removed == std::vector<std::string>{"server-7"});
    behind.roster().apply_update(update);
    CHECK_FALSE(behind.has_server("server-7"));
    CHECK(behind.has_server("new"));
    CHECK(behind.roster().all().size() == 100);
    CHECK(behind.roster().position() == store::position{0, 202});
}

TEST_CASE("an update doesn't list a server as removed that has registered again", "[gateway][roster]") {
    known_servers ahead;
    ahead.register_server("a", 5);
    ahead.register_server("b", 6);
    ahead.unregister_server("a", 7);
    ahead.register_server("a", 8);
    const auto update = ahead.roster().changes_after({0, 6});
    CHECK(update.removed.empty());
    CHECK(update.present.contains("a"));
}

TEST_CASE("an update lists retained registrations", "[gateway][roster]") {
    // The registration vanished during an outage of the store. If the server doesn't register again, no
    // version changes, so a gateway that only receives updates from peers would keep it forever.
    known_servers ahead;
    ahead.register_server("a", 5);
    ahead.roster().record_outage();
    ahead.unregister_server("a", 6);
    const auto update = ahead.roster().changes_after({0, 5});
    CHECK(update.retained == std::vector<std::string>{"a"});
    known_servers behind;
    behind.register_server("a", 5);
    behind.roster().apply_update(update);
    CHECK(behind.has_server("a"));
    CHECK(behind.roster().changes_after({0, 5}).retained == std::vector<std::string>{"a"});
}

TEST_CASE("a gateway that has read all registrations doesn't vouch for removals before its read",
          "[gateway][roster]") {
    // Guards against a gateway that keeps a removed server for good, since it asked one that has just
    // started.
    known_servers behind;
    behind.register_server("removed", 5);
    behind.register_server("kept", 6);
    known_servers fresh;
    const bool was_told = GENERATE(false, true);
    known_servers started;
    started.read_all({0, 110}, {{"kept", "engines", 6}});
    if (was_told) {
        fresh.roster().apply_update(started.roster().changes_after({}));
    } else {
        fresh.read_all({0, 110}, {{"kept", "engines", 6}});
    }
    fresh.register_server("new", 120);
    behind.roster().apply_update(fresh.roster().changes_after(behind.roster().position()));
    CHECK_FALSE(behind.has_server("removed"));
    CHECK(behind.has_server("kept"));
    CHECK(behind.has_server("new"));
}

TEST_CASE("the removal of a server that wasn't known is passed on", "[gateway][roster]") {
    // Guards against a gateway that keeps a removed server for good, since the one that it asked never knew
    // it.
    known_servers behind;
    behind.register_server("kept", 5);
    behind.register_server("brief", 6);
    known_servers ahead;
    ahead.register_server("kept", 5);
    const bool was_told = GENERATE(false, true);
    known_servers source;
    source.register_server("kept", 5);
    source.register_server("brief", 6);
    source.unregister_server("brief", 7);
    if (was_told) {
        ahead.roster().apply_update(source.roster().changes_after({0, 5}));
    } else {
        ahead.unregister_server("brief", 7);
    }
    behind.roster().apply_update(ahead.roster().changes_after(behind.roster().position()));
    CHECK_FALSE(behind.has_server("brief"));
    CHECK(behind.has_server("kept"));
}

TEST_CASE("a version whose servers drain at the first read may have begun streams", "[gateway][roster]") {
    // Guards against taking the version that replaces it for the only one.
    known_servers here;
    here.read_all({0, 10}, {{"old", "leaving engines#v1", 5}, {"new", "engines#v2", 6}});
    const auto versions = here.history().list(std::chrono::steady_clock::now());
    CHECK(versions.at(hash_bytes("engines")).size() == 2);
}

TEST_CASE("a gateway that has missed servers doesn't know all versions any more", "[gateway][roster]") {
    // Guards against taking a version for the only one when another one came and went unseen.
    const auto service = hash_bytes("engines");
    const auto now = std::chrono::steady_clock::now();
    known_servers here;
    here.read_all({0, 10}, {{"a", "engines#v1", 5}, {"b", "engines#v1", 6}});
    here.history().settle(service, policy::software_key_of("v1"), now);
    here.unregister_server("b", 11);
    here.unregister_server("b", 11);
    CHECK(here.history().is_settled(service, now));
    SECTION("one is gone that was never there") {
        here.unregister_server("brief", 20);
    }
    SECTION("a gateway says that one is gone that was never there") {
        known_servers ahead;
        ahead.register_server("brief", 19);
        ahead.unregister_server("brief", 20);
        here.roster().apply_update(ahead.roster().changes_after(here.roster().position()));
    }
    SECTION("all are read again after an outage") {
        here.roster().record_outage();
        here.read_all({0, 20}, {{"a", "engines#v1", 5}});
    }
    SECTION("a gateway sends all after an outage") {
        here.roster().record_outage();
        known_servers ahead;
        ahead.read_all({0, 20}, {{"a", "engines#v1", 5}, {"c", "engines#v1", 20}});
        here.roster().apply_update(ahead.roster().changes_after({}));
    }
    CHECK_FALSE(here.history().is_settled(service, now));
}

TEST_CASE("a gateway that starts doesn't take its first lists of servers for a gap", "[gateway][roster]") {
    // Guards against hundreds of gateways that tell all streams, since each heard of servers before its read.
    const auto service = hash_bytes("engines");
    const auto now = std::chrono::steady_clock::now();
    known_servers here;
    here.history().settle(service, policy::software_key_of("v1"), now);
    known_servers ahead;
    ahead.read_all({0, 9}, {{"a", "engines#v1", 5}});
    here.roster().record_outage();
    here.roster().apply_update(ahead.roster().changes_after({}));
    here.read_all({0, 10}, {{"a", "engines#v1", 5}, {"b", "engines#v1", 6}});
    ahead.register_server("c", 12);
    here.roster().apply_update(ahead.roster().changes_after({}));
    here.read_all({0, 20}, {{"a", "engines#v1", 5}, {"b", "engines#v1", 6}});
    CHECK(here.history().is_settled(service, now));
}

TEST_CASE("the registration of a draining server isn't retained after an outage", "[gateway][roster]") {
    // Guards against retaining a server that is known to have shut down.
    known_servers here;
    here.write("a", "engines", 5);
    here.write("b", "engines", 6);
    here.write("a", "leaving engines", 7);
    here.roster().record_outage();
    here.unregister_server("a", 8);
    here.unregister_server("b", 9);
    CHECK_FALSE(here.has_server("a"));
    CHECK(here.has_server("b"));
}

TEST_CASE("a request that waits for an unknown server is notified once it registers", "[gateway][roster]") {
    // The coordinator had read the registration of a server that had just started, and this gateway had not.
    // Its slots were given back one after another, five in a few milliseconds, and then the caller was
    // refused.
    known_servers servers;
    routing::backend_record record;
    record.id = "a";
    record.start = 2;
    const auto awaited = record.key();
    const auto request = std::make_shared<int>(0);
    int notified = 0;
    servers.backends().when_known(awaited, request, [&] { ++notified; });
    servers.write("a", "engines@1", 5);
    CHECK(notified == 0); // a previous start
    servers.write("a", "engines@2", 6);
    CHECK(notified == 1);
    servers.write("a", "engines@2", 7);
    CHECK(notified == 1);
    CHECK_FALSE(servers.backends().was_known(awaited));
    servers.write("a", "engines@3", 8);
    CHECK(servers.backends().was_known(awaited)); // no registration of this start will follow
}

TEST_CASE("a server that was removed twice is remembered as long as other removed servers",
          "[gateway][roster]") {
    // Guards against a request that waits for a server which is known to be removed.
    backend_directory directory;
    const auto come_and_go = [&](const std::string& id) {
        routing::backend_record record;
        record.id = id;
        directory.set(record);
        directory.remove(id);
        return record.key();
    };
    come_and_go("back");
    const auto key = come_and_go("back");
    constexpr int others = 1023;
    for (int index = 0; index < others; ++index) {
        come_and_go("other-" + std::to_string(index));
    }
    CHECK(directory.was_known(key));
}

TEST_CASE("a request that has ended isn't notified of the server that it waited for", "[gateway][roster]") {
    known_servers servers;
    routing::backend_record record;
    record.id = "a";
    int notified = 0;
    servers.backends().when_known(record.key(), std::make_shared<int>(0), [&] { ++notified; });
    servers.write("a", "engines", 5);
    CHECK(notified == 0);
}

TEST_CASE("the size of large answers that are sent at a time is limited", "[gateway][send_budget]") {
    // After all gateways were killed, each of them requests all registrations from the first one that is
    // back. If it answered all of them at once, it would hold so many copies that it would be killed for its
    // memory use.
    send_budget budget(100, 10);
    auto first = budget.try_acquire(60);
    REQUIRE(first.has_value());
    CHECK_FALSE(budget.try_acquire(60).has_value());
    {
        const auto small = budget.try_acquire(40);
        CHECK(small.has_value());
        CHECK_FALSE(budget.try_acquire(11).has_value());
        CHECK(budget.try_acquire(10).has_value()); // too small to count
    }
    const auto moved = std::move(*first);
    first.reset();
    CHECK_FALSE(budget.try_acquire(60).has_value()); // still being sent
    {
        send_budget fresh(100, 10);
        CHECK(fresh.try_acquire(500).has_value()); // a single answer is always allowed
    }
}

TEST_CASE("a gateway that is far behind gets a whole update instead of a part of the removals",
          "[gateway][roster]") {
    // The gateway has missed more removals than are remembered. An update without them would leave removed
    // servers in place.
    known_servers ahead;
    known_servers behind;
    ahead.register_server("first", 1);
    behind.register_server("first", 1);
    std::uint64_t version = 1;
    ahead.unregister_server("first", ++version);
    for (int index = 0; index < 1000; ++index) {
        const auto id = "short-lived-" + std::to_string(index);
        ahead.register_server(id, ++version);
        ahead.unregister_server(id, ++version);
    }
    const auto update = ahead.roster().changes_after(behind.roster().position());
    CHECK(update.is_complete);
    behind.roster().apply_update(update);
    CHECK_FALSE(behind.has_server("first"));
}

TEST_CASE("an update that is no newer is ignored", "[gateway][roster]") {
    known_servers here;
    here.register_server("a", 9);
    here.roster().apply_update({{0, 9}, true, {}, {}});
    CHECK(here.has_server("a"));
}

TEST_CASE("a server that restarts under its id counts as another server", "[gateway][roster]") {
    // An engine crashed and is back within a heartbeat interval. If it were identified by its id alone, it
    // would inherit the cooldown, the queue and the requests of the dead process, and its grants.
    known_servers here;
    here.write("a", "engines@1", 5);
    const auto previous = here.usable_key("a");
    here.write("a", "engines@2", 6);
    const auto present = here.usable_key("a");
    CHECK(present != 0);
    CHECK(present != previous);
    CHECK(here.backends().find(previous) == nullptr);
    CHECK(here.backends().find(present) != nullptr);
    // The last registration of the previous start arrives late. It changes nothing, and isn't passed on to
    // other gateways.
    here.write("a", "engines@1", 7);
    CHECK(here.usable_key("a") == present);
    known_servers other;
    other.roster().apply_update(here.roster().changes_after({}));
    CHECK(other.usable_key("a") == present);
}

TEST_CASE("other rows stay in force beside a row that can't be decoded and names no server",
          "[gateway][roster]") {
    // Another program wrote into the table of servers. A server whose row was overwritten gets no new
    // requests until it writes its row again with its next heartbeat.
    known_servers here;
    here.write("good", "engines@1", 1);
    here.write("struck", "engines@1", 2);
    here.write("foreign", "garbage", 3);
    here.write("struck", "garbage", 4);
    CHECK(here.usable_key("good") != 0);
    CHECK(here.usable_key("foreign") == 0);
    CHECK(here.usable_key("struck") == 0);
    // A gateway that receives its registrations from this one ends in the same state.
    known_servers other;
    other.roster().apply_update(here.roster().changes_after({}));
    CHECK(other.usable_key("good") != 0);
    CHECK(other.usable_key("struck") == 0);
    // The undecodable bytes are neither kept nor passed on, since JSON can't represent them.
    CHECK(here.roster().all().at("struck").value.empty());
    here.write("struck", "engines@1", 5);
    CHECK(here.usable_key("struck") != 0);
}

TEST_CASE("a row without a start is rejected for a server that has reported its start", "[gateway][roster]") {
    known_servers here;
    here.write("a", "engines@1", 1);
    here.write("a", "engines", 2);
    CHECK(here.usable_key("a") == 0);
    here.write("a", "engines@1", 3);
    CHECK(here.usable_key("a") != 0);
}
