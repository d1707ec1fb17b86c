// Tests a roll-out, which replaces the software version of a service on an operator's order.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

/// The new version may get at most this share of the requests, plus a fixed number, before it is evaluated.
constexpr double max_exposed_share = 0.1;
constexpr std::size_t exposed_slack = 50;

emulator::backend_options backend_of_version(const std::string& id, const std::string& version) {
    auto options = plain_backend(id);
    options.version = version;
    options.work = 1ms;
    return options;
}

site_options site_with_two_versions(std::size_t gateways) {
    site_options options;
    options.gateways = gateways;
    options.configuration = plain_configuration(routing::route_kind::idempotent);
    options.backends = {backend_of_version("old-0", "v1"), backend_of_version("old-1", "v1"),
                        backend_of_version("new-0", "v2"), backend_of_version("new-1", "v2")};
    return options;
}

std::string status_of(gateway_site& site) {
    const auto row = site.on_emulator([&] { return site.store().rows().read("status/rollout/plain"); });
    return row.has_value() ? row->value : std::string();
}

std::size_t runs_at(gateway_site& site, std::size_t server) {
    return site.on_emulator([&] { return site.backend(server).runs().size(); });
}

bool names_end(const std::string& text) {
    return text.find("completed") != std::string::npos || text.find("rolled_back") != std::string::npos;
}

/// Returns the gateway's log line about the end of the roll-out; empty while there is none.
std::string final_phase_line(gateway_site& site) {
    std::istringstream log(site.process(0).output_text());
    for (std::string line; std::getline(log, line);) {
        if (line.find(R"("event":"rollout_moved")") != std::string::npos && names_end(line)) {
            return line;
        }
    }
    return {};
}

/// Sends requests, several at a time, until the roll-out has ended, which must be in `state`; returns the
/// number of requests.
std::size_t send_until_over(gateway_site& site, const std::string& state) {
    constexpr std::size_t callers = 8;
    std::size_t sent = 0;
    wait_until("the roll-out is over", [&] {
        std::vector<std::jthread> threads;
        threads.reserve(callers);
        for (std::size_t index = 0; index < callers; ++index) {
            threads.emplace_back([&site, id = "call-" + std::to_string(sent++)] {
                static_cast<void>(site.send(0, make_call("/plain/x", id)));
            });
        }
        threads.clear();
        return !final_phase_line(site).empty();
    });
    INFO(final_phase_line(site));
    wait_until("the end of the roll-out is recorded", [&] { return names_end(status_of(site)); });
    REQUIRE(status_of(site).find(state) != std::string::npos);
    return sent;
}

} // namespace

TEST_CASE("gateway: a good version completes the roll-out and the previous one gets no more requests",
          "[gateway][rollout]") {
    gateway_site site(site_with_two_versions(1));
    site.order_rollout({"plain", "v2", 25s});
    wait_until("the order is known", [&] { return site.has_logged(0, R"("event":"rollout_ordered")"); });
    static_cast<void>(send_until_over(site, "completed"));
    const auto previous_runs = runs_at(site, 0) + runs_at(site, 1);
    for (int index = 0; index < 10; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "after-" + std::to_string(index))).status == 200);
    }
    CHECK(runs_at(site, 0) + runs_at(site, 1) == previous_runs);
}

TEST_CASE("gateway: a bad version is rolled back after few requests", "[gateway][rollout]") {
    // Guards against a version that fails half of a service's requests before anybody notices.
    gateway_site site(site_with_two_versions(1));
    site.on_emulator([&] {
        for (const std::size_t server : {2U, 3U}) {
            site.backend(server).set_fault(emulator::backend_fault::error);
        }
    });
    site.order_rollout({"plain", "v2", 60s});
    wait_until("the order is known", [&] { return site.has_logged(0, R"("event":"rollout_ordered")"); });
    const auto before = runs_at(site, 2) + runs_at(site, 3);
    const auto sent = send_until_over(site, "rolled_back");
    const auto exposed = runs_at(site, 2) + runs_at(site, 3);
    CHECK(static_cast<double>(exposed - before) <=
          max_exposed_share * static_cast<double>(sent) + exposed_slack);
    for (int index = 0; index < 10; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "after-" + std::to_string(index))).status == 200);
    }
    CHECK(runs_at(site, 2) + runs_at(site, 3) == exposed);
}

TEST_CASE("gateway: a new coordinator respects a recorded roll-back", "[gateway][rollout]") {
    // All gateways were killed after a roll-back. A new one must not give the rejected version requests
    // again.
    gateway_site site(site_with_two_versions(1));
    site.on_emulator([&] {
        store::transaction change;
        change.puts.push_back({"status/rollout/plain", R"({"state":"rolled_back","to":"v2"})"});
        static_cast<void>(site.store().rows().transact(change));
    });
    site.order_rollout({"plain", "v2", 60s});
    wait_until("the recorded roll-back is known",
               [&] { return site.has_logged(0, R"("phase":"rolled_back")"); });
    const auto exposed = runs_at(site, 2) + runs_at(site, 3);
    for (int index = 0; index < 20; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "after-" + std::to_string(index))).status == 200);
    }
    CHECK(runs_at(site, 2) + runs_at(site, 3) == exposed);
    CHECK(status_of(site) == R"({"state":"rolled_back","to":"v2"})");
}
