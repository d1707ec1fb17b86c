// Tests that requests with a part in their prompts that crashes servers stop reaching servers, although no
// two of them are alike, and that requests that share their other parts are served.
#include "platform/header_field_names.hpp"
#include "support/crash_site.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_refused = 503;
/// Crashes after which no request with the part must reach a server any more.
constexpr std::size_t tolerated_crashes = 3;
const std::string common_part = "5c1e07a2";
const std::string fatal_part = "91bd3f06";
const std::string sound_part = "0f0f0f0f";

/// A call whose prompt has the common part, `middle` and a part of its own; its body is like no other's.
http::request call_with_parts(const std::string& target, const std::string& id, const std::string& middle) {
    auto call = make_call(target, id, "body of " + id);
    const auto names = platform::header_field_names();
    call.headers.push_back({names.model, "m"});
    call.headers.push_back({names.prompt_parts, common_part + ":60," + middle + ":300,e4402b7d:20"});
    return call;
}

http::request fatal_call(const std::string& id, const std::string& target = "/plain/x") {
    return call_with_parts(target, id, fatal_part);
}

void crash_by_part(gateway_site& site) {
    site.crash_by_requests({.rule = {.body_text = {}, .part = fatal_part}});
}

/// Sends a call without the fatal part through each gateway; see send_round().
std::size_t serve_sound_calls(gateway_site& site, const std::vector<std::size_t>& gateways,
                              const std::string& name, const std::string& target = "/plain/x") {
    return send_round(site, gateways, [&](std::size_t gateway) {
        return call_with_parts(target, name + "-sound-" + std::to_string(gateway), sound_part);
    });
}

} // namespace

TEST_CASE("gateway: requests with a part that crashes servers are stopped, and no others",
          "[gateway][crashing_part]") {
    gateway_site site(crash_site(12, 3));
    static_cast<void>(wait_for_coordinator(site, {0, 1, 2}));
    crash_by_part(site);
    std::size_t served = 0;
    for (std::size_t number = 0; number < 20; ++number) {
        const auto name = "no-" + std::to_string(number);
        CHECK(site.send(number % 3, fatal_call(name)).status != status_ok);
        served += serve_sound_calls(site, {0, 1, 2}, name);
    }
    CHECK(site.count_crashes() <= tolerated_crashes);
    CHECK(served == 60);
    CHECK(site.send(0, fatal_call("refused")).status == status_refused);
}

TEST_CASE("gateway: retries of requests with a part that crashes servers don't crash further ones",
          "[gateway][crashing_part]") {
    gateway_site site(crash_site(24, 2, 3));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    crash_by_part(site);
    for (std::size_t number = 0; number < 8; ++number) {
        static_cast<void>(site.send(number % 2, fatal_call("retried-" + std::to_string(number))));
        CHECK(serve_sound_calls(site, {0, 1}, "retried-" + std::to_string(number)) == 2);
    }
    CHECK(site.count_crashes() <= tolerated_crashes);
}

TEST_CASE("gateway: requests with a part that crashes servers are stopped although coordinators are killed",
          "[gateway][crashing_part]") {
    gateway_site site(crash_site(12, 4));
    std::vector<std::size_t> gateways{0, 1, 2, 3};
    crash_by_part(site);
    for (int lost = 0; lost < 2; ++lost) {
        const auto coordinator = wait_for_coordinator(site, gateways);
        const auto name = "before-" + std::to_string(lost);
        static_cast<void>(site.send(coordinator, fatal_call(name)));
        static_cast<void>(serve_sound_calls(site, gateways, name));
        static_cast<void>(serve_sound_calls(site, gateways, name + "-again"));
        site.process(coordinator).kill();
        std::erase(gateways, coordinator);
    }
    static_cast<void>(wait_for_coordinator(site, gateways));
    for (int number = 0; number < 4; ++number) {
        for (const auto gateway : gateways) {
            const auto id = "after-" + std::to_string(number) + "-" + std::to_string(gateway);
            static_cast<void>(site.send(gateway, fatal_call(id)));
            static_cast<void>(serve_sound_calls(site, gateways, id));
        }
    }
    CHECK(site.count_crashes() <= tolerated_crashes);
}

TEST_CASE("gateway: streams with a part that crashes servers are stopped", "[gateway][crashing_part]") {
    // The servers crash when they begin to write.
    site_options options;
    options.gateways = 2;
    options.configuration = stream_configuration(true);
    options.configuration.routes.front().attempts = 1;
    for (int index = 0; index < 12; ++index) {
        options.backends.push_back(engine_backend("engine-" + std::to_string(index)));
    }
    gateway_site site(std::move(options));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    crash_by_part(site);
    std::size_t served = 0;
    for (std::size_t number = 0; number < 10; ++number) {
        const auto id = "stream-" + std::to_string(number);
        static_cast<void>(site.send(number % 2, fatal_call(id, "/stream/x")));
        served += serve_sound_calls(site, {0, 1}, id, "/stream/x");
    }
    CHECK(site.count_crashes() <= tolerated_crashes);
    CHECK(served == 20);
}

TEST_CASE("gateway: an operator can release a quarantined part", "[gateway][crashing_part]") {
    gateway_site site(crash_site(12, 2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    crash_by_part(site);
    for (std::size_t number = 0; number < 5; ++number) {
        const auto name = "fatal-" + std::to_string(number);
        static_cast<void>(site.send(number % 2, fatal_call(name)));
        static_cast<void>(serve_sound_calls(site, {0, 1}, name));
    }
    CHECK(site.count_crashes() == tolerated_crashes);
    const auto log = site.process(0).output_text();
    const std::string before_key = R"("suspect":"prompt_part","key":)";
    const auto found = log.find(before_key, log.find(R"("event":"suspect_quarantined")"));
    REQUIRE(found != std::string::npos);
    const auto key = std::to_string(std::stoull(log.substr(found + before_key.size())));
    site.write_settings(0, "released_suspects = " + key + "\n");
    site.process(0).reload();
    wait_until("both gateways know of the release", [&] {
        return site.has_logged(1, R"("event":"suspect_cleared","level":"info")") &&
               site.has_logged(0, R"("event":"settings_reloaded")");
    });
    static_cast<void>(serve_sound_calls(site, {0, 1}, "after"));
    static_cast<void>(site.send(1, fatal_call("released")));
    CHECK(site.count_crashes() == tolerated_crashes + 1);
}

TEST_CASE("gateway: one workspace's requests don't get the parts of another quarantined",
          "[gateway][crashing_part]") {
    // Its prompts name the other's parts beside the one that crashes servers.
    gateway_site site(crash_site(24, 2));
    static_cast<void>(wait_for_coordinator(site, {0, 1}));
    crash_by_part(site);
    const auto names = platform::header_field_names();
    auto parts = common_part;
    parts.append(":60,").append(sound_part).append(":300,").append(fatal_part).append(":1,e4402b7d:20");
    for (std::size_t number = 0; number < 10; ++number) {
        const auto name = "malicious-" + std::to_string(number);
        auto call = make_call("/plain/x", name, "body of " + name);
        call.headers.push_back({names.model, "m"});
        call.headers.push_back({names.prompt_parts, parts});
        static_cast<void>(site.send(number % 2, call));
        CHECK(serve_sound_calls(site, {0, 1}, name) == 2);
    }
    CHECK(site.count_crashes() <= tolerated_crashes);
}
