// Tests several gateways that share slots, quotas and the retry budget, when some of them crash or stop
// responding.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace borageford;
using namespace borageford::test;

namespace {

/// Returns a site with one workspace whose quota allows at most ten calls from the start and grows by next to
/// nothing, however long a test takes.
site_options limited_site(std::size_t gateways) {
    site_options options;
    options.gateways = gateways;
    options.configuration = plain_configuration(routing::route_kind::idempotent);
    routing::workspace workspace{"archive", {"key"}, std::nullopt};
    workspace.unit = routing::quota_unit::tokens;
    workspace.rate = 1;
    workspace.burst = 3000;
    workspace.default_tokens = 1000;
    options.gateway_settings = "allowance_slack = 60000\n";
    options.configuration.workspaces.push_back(workspace);
    options.backends = {plain_backend("server-0"), plain_backend("server-1")};
    return options;
}

http::request keyed_call(const std::string& id) {
    auto call = make_call("/plain/x", id);
    call.headers.push_back({"Authorization", "Bearer key"});
    return call;
}

std::size_t count_served(gateway_site& site, const std::vector<std::size_t>& gateways, int calls,
                         const std::string& name) {
    std::size_t served = 0;
    for (int index = 0; index < calls; ++index) {
        const auto gateway = gateways[static_cast<std::size_t>(index) % gateways.size()];
        const auto id = name + std::to_string(index);
        served += site.send(gateway, keyed_call(id)).status == 200 ? 1 : 0;
    }
    return served;
}

} // namespace

TEST_CASE("gateway: a quota applies to all gateways together", "[gateway][coordination]") {
    // A workspace sends requests through every gateway. If each gateway counted separately, the workspace
    // would get its quota once per gateway, at the expense of other workspaces.
    gateway_site site(limited_site(2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    // One quota, perhaps slightly less than full, allows 8 to 10 calls; two would allow at least sixteen.
    const auto served = count_served(site, {0, 1}, 60, "call-");
    CHECK(served >= 8);
    CHECK(served <= 10);
}

TEST_CASE("gateway: a killed coordinator is replaced and quotas don't restart", "[gateway][coordination]") {
    // The coordinator crashes. If the next one started with full quotas, a workspace would get its burst
    // again after each crash.
    gateway_site site(limited_site(3));
    const auto coordinator = wait_for_coordinator(site, {0, 1, 2});
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < 3; ++index) {
        if (index != coordinator) {
            others.push_back(index);
        }
    }
    const auto before = count_served(site, others, 40, "before-");
    site.process(coordinator).kill();
    wait_until("another gateway coordinates", [&] {
        return site.has_logged(others[0], R"("to":"own_coordination")") ||
               site.has_logged(others[1], R"("to":"own_coordination")");
    });
    const auto after = count_served(site, others, 40, "after-");
    CHECK(before >= 8);
    CHECK(before <= 10);
    CHECK(after <= 10);
}

TEST_CASE("gateway: a frozen coordinator delays its members' requests only briefly",
          "[gateway][coordination]") {
    // The coordinator's machine stops without closing connections. Requests at the other gateways wait for a
    // grant that never comes, and must continue with the local share well within a usual latency target.
    auto options = limited_site(2);
    options.configuration.workspaces.clear();
    gateway_site site(options);
    const auto coordinator = wait_for_coordinator(site, {0, 1});
    const auto other = 1 - coordinator;
    site.process(coordinator).freeze();
    for (int index = 0; index < 10; ++index) {
        CHECK(site.send(other, make_call("/plain/x", "call-" + std::to_string(index))).status == 200);
    }
    site.process(coordinator).thaw();
    CHECK(site.send(coordinator, make_call("/plain/x", "thawed")).status == 200);
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
}

TEST_CASE("gateway: all gateways recover by themselves after being killed at once",
          "[gateway][coordination]") {
    // A power failure stops every gateway, and none has persistent state.
    auto options = limited_site(3);
    options.configuration.workspaces.clear();
    gateway_site site(options);
    for (std::size_t index = 0; index < 3; ++index) {
        site.process(index).kill();
    }
    for (std::size_t index = 0; index < 3; ++index) {
        site.start_gateway(index);
    }
    for (std::size_t index = 0; index < 3; ++index) {
        site.wait_until_ready(index);
        CHECK(site.send(index, make_call("/plain/x", "back-" + std::to_string(index))).status == 200);
    }
}
