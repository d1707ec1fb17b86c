// Tests of backend_roster after the store was restored from an older copy: which servers are in use, and
// which are removed.
#include "support/known_servers.hpp"
#include "support/run_until.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace borageford;
using test::known_servers;
using namespace std::chrono_literals;

namespace {

/// Registers two servers in the first era.
void make_first_era(known_servers& here) {
    here.read_all({1, 40}, {{"a", "engines", 10}, {"b", "engines", 20}});
}

} // namespace

TEST_CASE("a server is known to drain although its version was assigned before the restore",
          "[gateway][store_restore]") {
    // Guards against treating a change of the new era as older than the known state, which would keep the
    // server in use.
    known_servers here;
    make_first_era(here);
    here.write("a", "engines", 100);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") != 0);
    here.write("a", "leaving engines", 60);
    CHECK(here.usable_key("a") == 0);
    CHECK(here.roster().position() == store::position{2, 60});
}

TEST_CASE("a draining server stays out of use when the restored copy lists it as ready",
          "[gateway][store_restore]") {
    known_servers here;
    make_first_era(here);
    here.write("a", "leaving engines", 100);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") == 0);
    CHECK(here.usable_key("b") != 0);
    here.write("a", "leaving engines", 60);
    CHECK(here.usable_key("a") == 0);
    here.write("a", "engines@7", 61); // a new start, which the store can't have held before
    CHECK(here.usable_key("a") != 0);
}

TEST_CASE("a server that the restored copy lists as draining gets no requests, whichever row is older",
          "[gateway][store_restore]") {
    // The row may have been written anew under a version number that the store assigned a second time, so it
    // looks like a row of the copy.
    known_servers here;
    make_first_era(here);
    here.write("a", "engines", 100);
    here.read_all({2, 60}, {{"a", "leaving engines", 55}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") == 0);
}

TEST_CASE("a removed server isn't used again when the restored copy still lists it",
          "[gateway][store_restore]") {
    // Its address may belong to a server of another service by now.
    known_servers here;
    make_first_era(here);
    here.unregister_server("a", 100);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") == 0);
    CHECK_FALSE(here.has_server("a"));
    SECTION("until its row is written again") {
        here.write("a", "engines", 60);
        CHECK(here.usable_key("a") != 0);
    }
    SECTION("and not when it is removed again") {
        here.unregister_server("a", 60);
        CHECK(here.usable_key("a") == 0);
    }
}

TEST_CASE("a suspect row that outlives its registration time counts as renewed", "[gateway][store_restore]") {
    // Guards against a live server that is never used again: renewing a registration changes no version.
    known_servers here(20ms);
    here.roster().start();
    make_first_era(here);
    here.unregister_server("a", 100);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") == 0);
    test::run_until(here.context(), [&] { return here.usable_key("a") != 0; });
}

TEST_CASE("a server that is missing from the restored copy is retained for a while and then removed",
          "[gateway][store_restore]") {
    // The server registered after the copy was made. It may be alive and will then register again, or it may
    // have shut down since.
    known_servers here;
    here.roster().start();
    make_first_era(here);
    here.write("c", "engines", 90);
    here.write("d", "leaving engines", 91);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("c") != 0);
    CHECK_FALSE(here.has_server("d")); // it had announced that it drains
    SECTION("gone when it doesn't come back") {
        test::run_until(here.context(), [&] { return !here.has_server("c"); });
    }
    SECTION("well when it is written again") {
        here.write("c", "engines", 60);
        CHECK(here.usable_key("c") != 0);
        CHECK(here.roster().changes_after({2, 50}).retained.empty());
    }
    SECTION("whatever others say of their view of the store") {
        here.roster().record_other_connected(1h);
        CHECK(here.usable_key("c") != 0);
    }
}

TEST_CASE("previous starts of a server don't return with the restored copy", "[gateway][store_restore]") {
    known_servers here;
    here.read_all({1, 40}, {{"a", "engines@1", 10}});
    here.write("a", "engines@2", 100);
    const auto present = here.usable_key("a");
    here.read_all({2, 50}, {{"a", "engines@1", 10}});
    CHECK(here.usable_key("a") == present);
}

TEST_CASE("a server that restarts in the new era is used although its version is low",
          "[gateway][store_restore]") {
    known_servers here;
    here.read_all({1, 40}, {{"a", "engines@1", 10}});
    here.write("a", "engines@1", 100);
    const auto previous = here.usable_key("a");
    here.read_all({2, 60}, {{"a", "engines@2", 55}});
    CHECK(here.usable_key("a") != 0);
    CHECK(here.usable_key("a") != previous);
}

TEST_CASE("two restores in a row begin two eras", "[gateway][store_restore]") {
    known_servers here;
    make_first_era(here);
    here.write("a", "leaving engines", 100);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    here.read_all({3, 30}, {{"a", "engines", 10}, {"b", "engines", 20}});
    CHECK(here.usable_key("a") == 0);
    here.write("b", "leaving engines", 31);
    CHECK(here.usable_key("b") == 0);
    CHECK(here.roster().position() == store::position{3, 31});
}

TEST_CASE("data of a previous era never overrides the current era", "[gateway][store_restore]") {
    // A peer that can't reach the store, or an answer that was delayed, is of the previous era.
    known_servers here;
    make_first_era(here);
    known_servers peer;
    make_first_era(peer);
    peer.write("b", "leaving engines", 200);
    here.read_all({2, 50}, {{"a", "engines", 10}, {"b", "engines", 20}});
    here.write("a", "leaving engines", 60);
    here.roster().apply_update(peer.roster().changes_after({}));
    here.read_all({1, 300}, {{"a", "engines", 300}});
    CHECK(here.usable_key("a") == 0);
    CHECK(here.usable_key("b") != 0);
    CHECK(here.roster().position() == store::position{2, 60});
}

TEST_CASE("gateways that missed a restore or saw it or started after it reach the same state",
          "[gateway][store_restore]") {
    const std::vector<known_servers::entry> copy{{"a", "engines", 10}, {"b", "engines", 20}};
    known_servers saw;
    known_servers missed_it;
    known_servers started;
    for (auto* each : {&saw, &missed_it}) {
        make_first_era(*each);
        each->write("a", "leaving engines", 100);
        each->write("c", "engines", 101);
    }
    saw.read_all({2, 50}, copy);
    started.read_all({2, 50}, copy);
    missed_it.roster().apply_update(saw.roster().changes_after(missed_it.roster().position()));
    CHECK(missed_it.roster().position().era == 2);
    CHECK(missed_it.usable_key("a") == 0);
    CHECK(missed_it.usable_key("c") != 0);
    // The servers write their rows again.
    for (auto* each : {&saw, &started}) {
        each->write("a", "leaving engines", 60);
        each->write("c", "engines", 61);
    }
    missed_it.roster().apply_update(saw.roster().changes_after(missed_it.roster().position()));
    for (auto* each : {&saw, &missed_it, &started}) {
        CHECK(each->usable_key("a") == 0);
        CHECK(each->usable_key("b") != 0);
        CHECK(each->usable_key("c") != 0);
        CHECK(each->roster().position() == store::position{2, 61});
    }
}

TEST_CASE("a gateway in a previous era gets a complete update", "[gateway][store_restore]") {
    // Guards against comparing versions of different eras.
    known_servers ahead;
    ahead.read_all({2, 50}, {{"a", "engines", 10}});
    ahead.write("b", "engines", 60);
    CHECK(ahead.roster().changes_after({1, 55}).is_complete);
    CHECK_FALSE(ahead.roster().changes_after({2, 55}).is_complete);
}

TEST_CASE("a store that begins to tell eras changes nothing", "[gateway][store_restore]") {
    known_servers here;
    here.read_all({0, 40}, {{"a", "engines", 10}, {"b", "leaving engines", 20}});
    here.read_all({1, 41}, {{"a", "engines", 10}, {"b", "leaving engines", 20}});
    CHECK(here.usable_key("a") != 0);
    CHECK(here.usable_key("b") == 0);
}
