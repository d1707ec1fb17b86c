// Tests gateways after the store was restored from an older copy: it assigns versions a second time, and the
// latest writes are missing until they are written again.
#include "support/checks.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;
using emulator::store_state;
using namespace std::chrono_literals;

namespace {

using clock = std::chrono::steady_clock;

void wait_for_log(gateway_site& site, std::size_t gateway, const std::string& text) {
    wait_until("the log contains " + text,
               [&] { return site.process(gateway).output_text().find(text) != std::string::npos; });
}

void wait_for_status(gateway_site& site, std::size_t gateway, const http::request& call, unsigned status) {
    wait_until("status " + std::to_string(status), [&] { return site.send(gateway, call).status == status; });
}

/// Restores the store to an earlier moment. Only the test writes the lost rows again.
void restore_store(gateway_site& site, clock::time_point moment) {
    site.on_emulator([&] { static_cast<void>(site.store().rows().restore(moment)); });
}

void wait_for_era(gateway_site& site, std::size_t gateway, std::uint64_t era) {
    wait_for_log(site, gateway, R"("event":"store_era_changed","level":"warning")");
    wait_for_log(site, gateway, "\"era\":" + std::to_string(era));
}

/// Registers another server and waits until the gateway has learned of it, and thus has read the store again.
void register_marker(gateway_site& site, std::size_t gateway, std::size_t server) {
    site.start_backend(server, plain_backend("marker-" + std::to_string(server)));
    wait_for_log(site, gateway, "\"backend\":\"marker-" + std::to_string(server) + "\"");
}

} // namespace

TEST_CASE("gateway: a server that drains after a restore of the store gets no new requests",
          "[gateway][store_restore]") {
    // Guards against a version number that was assigned twice, which made the draining server's row look old.
    gateway_site site(plain_site(2));
    const auto copied_at = clock::now();
    for (int index = 0; index < 3; ++index) {
        site.register_backend(0, "ready");
    }
    register_marker(site, 0, 2);
    restore_store(site, copied_at);
    register_marker(site, 0, 3);
    site.register_backend(0, "draining");
    wait_for_log(site, 0, R"("event":"backend_draining")");
    for (int index = 0; index < 10; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id, 0) == 0);
    }
}

TEST_CASE("gateway: a server that drained before a restore of the store isn't used again",
          "[gateway][store_restore]") {
    gateway_site site(plain_site(2));
    const auto copied_at = clock::now();
    site.register_backend(0, "draining");
    wait_for_log(site, 0, R"("event":"backend_draining")");
    restore_store(site, copied_at);
    register_marker(site, 0, 2);
    wait_for_era(site, 0, 2);
    for (int index = 0; index < 10; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id, 0) == 0);
    }
}

TEST_CASE("gateway: a key that was revoked just before a restore of the store stays revoked",
          "[gateway][store_restore]") {
    // The copy still has the document in which the key is valid.
    auto options = plain_site(1, 2);
    const auto base = options.configuration;
    options.configuration = with_key(base, 5, "old-key");
    gateway_site site(options);
    const auto copied_at = clock::now();
    site.configure(with_key(base, 6, "new-key"));
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        wait_for_status(site, gateway, keyed_call("a", "new-key"), 200);
    }
    restore_store(site, copied_at);
    register_marker(site, 0, 1);
    site.process(1).kill();
    site.start_gateway(1); // it reads the older document first
    site.wait_until_ready(1);
    wait_for_status(site, 1, keyed_call("b", "new-key"), 200);
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        CHECK(site.send(gateway, keyed_call("c", "old-key")).status == 401);
        CHECK(site.send(gateway, keyed_call("d", "new-key")).status == 200);
    }
    site.configure(with_key(base, 7, "newest-key"));
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        wait_for_status(site, gateway, keyed_call("e", "newest-key"), 200);
    }
}

TEST_CASE("gateway: a gateway that missed a restore of the store catches up", "[gateway][store_restore]") {
    gateway_site site(plain_site(2, 3));
    const auto copied_at = clock::now();
    for (int index = 0; index < 3; ++index) {
        site.register_backend(1, "ready");
    }
    register_marker(site, 2, 2);
    site.process(2).freeze();
    restore_store(site, copied_at);
    register_marker(site, 0, 3);
    site.register_backend(1, "draining");
    wait_for_log(site, 0, R"("event":"backend_draining")");
    site.process(2).thaw();
    wait_for_log(site, 2, R"("event":"backend_draining")");
    wait_for_era(site, 2, 2);
}

TEST_CASE("gateway: every gateway follows two restores of the store in quick succession",
          "[gateway][store_restore]") {
    // Between two restores, the store refuses some callers and answers others.
    gateway_site site(plain_site(2, 2));
    for (std::size_t round = 0; round < 2; ++round) {
        const auto copied_at = clock::now();
        register_marker(site, 0, 2 + 2 * round);
        site.on_emulator([&] {
            site.store().set_state(store_state::partly);
            static_cast<void>(site.store().rows().restore(copied_at));
        });
        register_marker(site, 0, 3 + 2 * round);
        site.on_emulator([&] { site.store().set_state(store_state::available); });
    }
    site.register_backend(0, "draining");
    for (std::size_t gateway = 0; gateway < 2; ++gateway) {
        wait_for_log(site, gateway, R"("event":"backend_draining")");
        CHECK(site.send(gateway, make_call("/plain/x", "call-" + std::to_string(gateway))).status == 200);
    }
    CHECK(fetch_text(site.metrics(0), "/metrics").find("\nborageford_gateway_store_era 3\n") !=
          std::string::npos);
}

TEST_CASE("gateway: a restore of the store costs few calls", "[gateway][store_restore]") {
    // Guards against repeated polls for a position that the store no longer has.
    constexpr std::size_t gateways = 3;
    gateway_site site(plain_site(2, gateways));
    const auto copied_at = clock::now();
    register_marker(site, 0, 2);
    const auto before = site.on_emulator([&] { return site.store().calls(); });
    restore_store(site, copied_at);
    register_marker(site, 0, 3);
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        wait_for_era(site, gateway, 2);
    }
    CHECK(site.on_emulator([&] { return site.store().calls(); }) - before < gateways * 20);
}
