// Tests that a server which says in an answer that it leaves gets no further requests.
#include "platform/header_field_names.hpp"
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

void say_leaving(gateway_site& site, std::size_t server, const std::string& value = "1") {
    site.on_emulator(
        [&] { site.backend(server).set_answer_fields({{platform::header_field_names().leaving, value}}); });
}

constexpr int calls = 40; ///< sent to see whether one reaches the leaving server

} // namespace

TEST_CASE("gateway: a server that says in an answer that it leaves gets no more requests",
          "[gateway][leaving_server]") {
    // The store doesn't answer, so its row still says that the server is ready. The server ends soon, and
    // requests that it has begun would be lost.
    gateway_site site(plain_site(2));
    say_leaving(site, 0);
    send_until_arrival(site, 0, 0, "heard-");
    const auto before = site.arrivals_at(0);
    CHECK(count_served(site, 0, calls, "after-") == calls);
    CHECK(site.arrivals_at(0) == before);
}

TEST_CASE("gateway: a row that says that a leaving server is ready doesn't bring it back",
          "[gateway][leaving_server]") {
    // The server's last heartbeat reaches the store after its answer has reached a caller.
    gateway_site site(plain_site(2));
    say_leaving(site, 0);
    send_until_arrival(site, 0, 0, "heard-");
    const auto before = site.arrivals_at(0);
    site.register_backend(0, "draining");
    wait_until("the row is read", [&] { return site.has_logged(0, R"("event":"backend_draining")"); });
    site.register_backend(0, "ready");
    CHECK(count_served(site, 0, calls, "after-") == calls);
    CHECK(site.arrivals_at(0) == before);
}

TEST_CASE("gateway: all gateways learn that a server leaves, also one that starts later",
          "[gateway][leaving_server]") {
    gateway_site site(plain_site(2, 3));
    const auto coordinator = wait_for_coordinator(site, {0, 1, 2});
    const auto hearing = (coordinator + 1) % 3;
    const auto other = (coordinator + 2) % 3;
    say_leaving(site, 0);
    send_until_arrival(site, hearing, 0, "heard-");
    for (const std::size_t gateway : {coordinator, other}) {
        wait_until("it is told", [&] { return site.has_logged(gateway, R"("event":"backend_leaving")"); });
    }
    const auto before = site.arrivals_at(0);
    site.process(other).kill();
    site.start_gateway(other);
    site.wait_until_ready(other);
    wait_until("it is told again", [&] { return site.has_logged(other, R"("event":"backend_leaving")"); });
    for (const std::size_t gateway : {std::size_t{0}, std::size_t{1}, std::size_t{2}}) {
        CHECK(count_served(site, gateway, calls, "after-" + std::to_string(gateway) + "-") == calls);
    }
    CHECK(site.arrivals_at(0) == before);
}

TEST_CASE("gateway: another start of a leaving server gets requests", "[gateway][leaving_server]") {
    auto options = plain_site(2);
    options.backends.front().start = 1;
    gateway_site site(options);
    say_leaving(site, 0);
    send_until_arrival(site, 0, 0, "heard-");
    ++options.backends.front().start;
    site.start_backend(0, options.backends.front());
    send_until_arrival(site, 0, 0, "restarted-");
}

TEST_CASE("gateway: an answer that says anything else about leaving is logged and changes nothing",
          "[gateway][leaving_server]") {
    gateway_site site(plain_site(1));
    const auto field = platform::header_field_names().leaving;
    const std::vector<http::header_fields> damaged{
        {{field, ""}}, {{field, "0"}}, {{field, "yes"}}, {{field, "1"}, {field, "1"}}};
    for (std::size_t index = 0; index < damaged.size(); ++index) {
        site.on_emulator([&] { site.backend(0).set_answer_fields(damaged[index]); });
        const auto id = "damaged-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        wait_until("it is logged",
                   [&] { return site.has_logged(0, R"("request":")" + id + R"(","field")"); });
    }
    CHECK_FALSE(site.has_logged(0, "backend_leaving"));
}
