// Requirement 9: a request that crashes every backend server that runs it crashes at most two of them.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr auto poison_control = R"({"crash_on":"veneno"})";

std::size_t dead_servers(cluster& system) {
    std::size_t dead = 0;
    for (std::size_t index = 0; index < system.backend_count(); ++index) {
        dead += system.backend(index).server->is_running() ? 0 : 1;
    }
    return dead;
}

cluster_options four_engines() {
    return {.backend_servers = {
                {.name = "pluma-1"}, {.name = "pluma-2"}, {.name = "pluma-3"}, {.name = "pluma-4"}}};
}

void arm_engines(cluster& system) {
    for (std::size_t index = 0; index < system.backend_count(); ++index) {
        system.control_server(index, poison_control);
    }
}

/// Sends the request again, over both entries in turn, until it is refused as quarantined.
caller_result send_until_quarantined(cluster& system, const http::request& call) {
    caller_result answer;
    std::size_t sent = 0;
    wait_until("the quarantine", [&] {
        answer = system.send(sent++ % 2, call);
        return answer.header("X-Error-Kind") == "quarantined";
    });
    return answer;
}

} // namespace

// The text of a request triggers a crash of the engine, and its caller sends the request again each time.
// After two engines have crashed, every entry must refuse the request and report that it didn't run.
TEST_CASE("9 crashing request: at most two servers lost, then quarantined at every entry") {
    cluster system(four_engines());
    arm_engines(system);
    const auto poison = make_completion("veneno", {.tokens = 20});
    const auto first = system.send(0, poison);
    INFO(first.status << ' ' << first.body);
    CHECK(first.header("X-Error-Kind") == "backend_failed");
    CHECK(first.header("X-Ran") == "unknown");
    const auto refused = send_until_quarantined(system, poison);
    CHECK(refused.header("X-Ran") == "no");
    CHECK(dead_servers(system) <= 2);
    for (std::size_t entry = 0; entry < 2; ++entry) {
        const auto again = system.send(entry, poison);
        CHECK(again.header("X-Error-Kind") == "quarantined");
        CHECK(again.header("X-Ran") == "no");
    }
    CHECK(dead_servers(system) <= 2);
    const auto innocent = make_completion("inocente", {.tokens = 10});
    check_complete_answer(system.send(0, innocent), innocent, 10);
}

// Other requests run on the engines that crash. Their answers are lost too, but they didn't cause the crash
// and must not be quarantined when their callers send them again.
TEST_CASE("9 crashing request: requests that ran on the same servers aren't quarantined") {
    cluster system(four_engines());
    arm_engines(system);
    std::vector<http::request> innocents;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (int index = 0; index < 8; ++index) {
        innocents.push_back(make_completion("vecino " + std::to_string(index), {.tokens = 300}));
        pending.push_back(std::make_unique<pending_call>(system.entry(index % 2).callers, innocents.back()));
    }
    for (const auto& call : pending) {
        call->wait_for_bytes(200);
    }
    const auto poison = make_completion("veneno", {.tokens = 20});
    static_cast<void>(send_until_quarantined(system, poison));
    CHECK(dead_servers(system) <= 2);
    for (std::size_t index = 0; index < innocents.size(); ++index) {
        auto answer = pending[index]->wait();
        if (!answer.is_complete) {
            CHECK_FALSE(has_done_mark(answer.body));
            answer = system.send(index % 2, innocents[index]);
        }
        CHECK(answer.header("X-Error-Kind") != "quarantined");
        check_complete_answer(answer, innocents[index], 300);
    }
}

// Two failures at the same time: the table that stores the crash marks is unavailable while engines crash.
// The entries must receive the marks from the sidecars.
TEST_CASE("9 crashing request: quarantined while the table is unavailable") {
    cluster system(four_engines());
    arm_engines(system);
    system.control_platform(R"({"outage":true})");
    const auto poison = make_completion("veneno en apagon", {.tokens = 20});
    const auto refused = send_until_quarantined(system, poison);
    CHECK(refused.header("X-Ran") == "no");
    CHECK(dead_servers(system) <= 2);
}
