// A service is ordered to move to another version of its software.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

emulator::backend_options backend_of_version(const std::string& id, const std::string& version) {
    auto options = plain_backend(id);
    options.version = version;
    return options;
}

void wait_for_log(gateway_site& site, const std::string& text) {
    wait_until("the log tells " + text,
               [&] { return site.process(0).output_text().find(text) != std::string::npos; });
}

} // namespace

TEST_CASE("gateway: a version that is being rolled out gets nothing while the former one serves",
          "[gateway][rollout]") {
    // Guards against a bad version that gets half of a service's requests as soon as its servers register.
    site_options options;
    options.configuration = plain_configuration(routing::route_kind::idempotent);
    options.backends = {backend_of_version("old", "v1")};
    gateway_site site(options);
    site.order_rollout({"plain", "v2", 3600s});
    wait_for_log(site, R"("event":"rollout_ordered")");
    site.start_backend(1, backend_of_version("new", "v2"));
    wait_for_log(site, R"("event":"backend_held_back")");
    for (int index = 0; index < 20; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id, 1) == 0);
    }
    site.withdraw_rollout("plain");
    wait_until("the new version gets requests", [&] {
        static_cast<void>(site.send(0, make_call("/plain/x", "after")));
        return site.runs_of("after", 1) > 0;
    });
}
