// Tests that a server which loses some of its requests, but seldom several in a row, gets few of them.
#include "support/gateway_site.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

/// Two servers of a service whose calls must not run twice; the settings file has `further` in addition.
site_options failing_site(const std::string& further) {
    auto options = plain_site(2);
    options.configuration = plain_configuration(routing::route_kind::non_idempotent);
    options.gateway_settings = further;
    return options;
}

/// Sends 60 calls one after the other, while the first server loses the answers to two of each five. Returns
/// how many got no answer.
int count_lost(gateway_site& site) {
    int lost = 0;
    std::size_t at_failing = 0;
    for (int index = 0; index < 60; ++index) {
        const bool is_losing = at_failing % 5 == 1 || at_failing % 5 == 3;
        site.on_emulator([&] {
            site.backend(0).set_fault(is_losing ? emulator::backend_fault::cut_unanswered
                                                : emulator::backend_fault::none);
        });
        const auto id = "call-" + std::to_string(index);
        lost += site.send(0, make_call("/plain/x", id)).status == 200 ? 0 : 1;
        at_failing += site.runs_of(id, 0);
    }
    return lost;
}

} // namespace

TEST_CASE("gateway: a server that loses two requests in five doesn't keep getting half of them",
          "[gateway][failing_server]") {
    gateway_site site(failing_site("avoid_failing_servers = yes\n"));
    CHECK(count_lost(site) <= 4);
    CHECK(site.has_logged(0, "backend_failing"));
}

TEST_CASE("gateway: without the setting, servers are used whatever they lose", "[gateway][failing_server]") {
    gateway_site site(failing_site(""));
    CHECK(count_lost(site) >= 8);
}
