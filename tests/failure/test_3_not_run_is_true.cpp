// Guarantee 3: if a refusal says that the request did not run, that is true. Each refusal is compared with
// the number of runs that the engines counted.
#include "base/sha256.hpp"
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace borageford;
using namespace borageford::test;

namespace {

/// Checks that the refusal has this error kind and says "not run", and that the call did not run.
void check_refusal(cluster& system, const caller_result& answer, const http::request& call,
                   const std::string& kind) {
    INFO(kind);
    check_not_run(answer, system.runs_of(call));
    CHECK(answer.header("X-Error-Kind") == kind);
}

} // namespace

// Errors in the request itself must be found before it is offered to any backend server.
TEST_CASE("3 not run is true: refusals of the request itself") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    const auto refused = [&](const http::request& call, const std::string& kind) {
        check_refusal(system, system.send(0, call), call, kind);
    };
    auto broken = make_completion("roto");
    broken.body = "{\"model\":";
    refused(broken, "bad_request");
    refused(make_completion("sin llave", {.api_key = "nobody"}), "unauthorized");
    refused(make_completion("sin modelo", {.model = "nada"}), "unknown_model");
    refused(with_header(make_completion("sin clave"), "X-Idempotent", "no"), "idempotency_key_required");
    refused(with_header(make_completion("nivel"), "X-Tier", "emperor"), "bad_request");
}

// The only sidecar is dead, so the request can't have run. The caller must be told so, with a time after
// which to retry.
TEST_CASE("3 not run is true: no backend server is reachable") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    const auto call = make_completion("nadie");
    system.backend(0).sidecar->kill();
    const auto answer = system.send(0, call);
    check_refusal(system, answer, call, "no_backend_server");
    CHECK_FALSE(answer.header("Retry-After").empty());
}

// The connection to the sidecar is reset each time an offer is sent. Whether the entry succeeds or refuses
// the request in the end, it must not say "not run" for a request that ran.
TEST_CASE("3 not run is true: offers lost on the way") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    auto& link = *system.backend(0).link;
    for (int round = 0; round < 12; ++round) {
        link.arm(direction::up, is_message<wire::offer_message>(), fault::lose);
    }
    const auto call = make_completion("oferta perdida", {.tokens = 5});
    const auto answer = system.send(0, call);
    INFO(answer.status << ' ' << answer.body);
    if (answer.status == 200) {
        CHECK(system.runs_of(call) == 1);
    } else {
        check_not_run(answer, system.runs_of(call));
    }
}

// The only slot is in use and the queue is full. Further requests must be refused at once, with a time after
// which to retry.
TEST_CASE("3 not run is true: overload") {
    cluster system({.entries = 1,
                    .backend_servers = {{.name = "pluma-1", .slots = "1"}},
                    .sidecar_settings = "queue_requests = 1\n"});
    std::vector<http::request> calls;
    std::vector<std::unique_ptr<pending_call>> pending;
    for (int index = 0; index < 8; ++index) {
        calls.push_back(make_completion("lleno " + std::to_string(index), {.tokens = 60}));
        pending.push_back(std::make_unique<pending_call>(system.entry(0).callers, calls.back()));
    }
    std::size_t refused = 0;
    for (std::size_t index = 0; index < calls.size(); ++index) {
        const auto answer = pending[index]->wait();
        if (answer.status == 200) {
            check_complete_answer(answer, calls[index], 60);
            CHECK(system.runs_of(calls[index]) == 1);
            continue;
        }
        ++refused;
        check_refusal(system, answer, calls[index], "overloaded");
        CHECK_FALSE(answer.header("Retry-After").empty());
    }
    CHECK(refused > 0);
}

// A request whose deadline can't be met must be refused at once instead of waiting in a queue until the
// deadline has passed.
TEST_CASE("3 not run is true: deadline that can't be met") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1", .slots = "1"}}});
    const auto running = make_completion("largo", {.tokens = 300});
    pending_call first(system.entry(0).callers, running);
    first.wait_for_bytes(300);
    const auto call = with_header(make_completion("tarde", {.tokens = 5}), "X-Deadline", "200ms");
    const auto answer = system.send(0, call);
    check_refusal(system, answer, call, "deadline_unreachable");
}

// Requests that exceed the limits of their workspace are refused with the error kind of the exceeded limit.
TEST_CASE("3 not run is true: limits of a workspace") {
    cluster system({.entries = 1,
                    .backend_servers = {{.name = "pluma-1"}},
                    .intent = "[workspace small]\nkey_sha256 = " + sha256_hex("small-key") +
                              "\ntier = idle\nconcurrent_requests = 1\n"
                              "[workspace slow]\nkey_sha256 = " +
                              sha256_hex("slow-key") +
                              "\ntier = idle\nrequests_per_second = 0.01\nrequest_burst = 1\n"});
    pending_call first(system.entry(0).callers,
                       make_completion("uno", {.tokens = 300, .api_key = "small-key"}));
    first.wait_for_bytes(300);
    const auto second = make_completion("dos", {.api_key = "small-key"});
    check_refusal(system, system.send(0, second), second, "concurrency_limited");
    CHECK(system.send(0, make_completion("tres", {.api_key = "slow-key"})).status == 200);
    const auto fourth = make_completion("cuatro", {.api_key = "slow-key"});
    check_refusal(system, system.send(0, fourth), fourth, "rate_limited");
}

// The connection is reset and the grant is lost, so the sidecar has reserved capacity for a request whose
// entry doesn't know of the grant. The request must still run once.
TEST_CASE("3 not run is true: grant lost with its connection") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    auto& link = *system.backend(0).link;
    for (const auto* prompt : {"concesion uno", "concesion dos", "concesion tres"}) {
        link.arm(direction::down, is_message<wire::grant_message>(), fault::lose);
        const auto call = make_completion(prompt, {.tokens = 10});
        pending_call pending(system.entry(0).callers, call);
        link.wait_for_fault();
        check_complete_answer(pending.wait(), call, 10);
        CHECK(system.runs_of(call) == 1);
    }
}

// The connection is reset and the start is lost, so the sidecar never receives it. The entry must ask for the
// dispatch's fate, learn that it was not begun, and place the request again.
TEST_CASE("3 not run is true: start lost with its connection") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    auto& link = *system.backend(0).link;
    link.arm(direction::up, is_message<wire::start_message>(), fault::lose);
    const auto call = make_completion("inicio perdido", {.tokens = 10});
    const auto answer = system.send(0, call);
    link.wait_for_fault();
    check_complete_answer(answer, call, 10);
    CHECK(system.runs_of(call) == 1);
}

// The sidecar's request never reaches the engine. Whatever answer the caller gets must agree with the number
// of runs that the engine counted.
TEST_CASE("3 not run is true: call lost between sidecar and engine") {
    cluster system({.entries = 1, .backend_servers = {{.name = "pluma-1"}}});
    auto& link = *system.backend(0).server_link;
    link.arm(direction::up, contains("POST /v1/chat"), fault::lose);
    const auto call = make_completion("llamada perdida", {.tokens = 10});
    const auto answer = system.send(0, call);
    link.wait_for_fault();
    INFO(answer.status << ' ' << answer.header("X-Error-Kind") << ' ' << answer.body);
    const auto runs = system.runs_of(call);
    CHECK(runs <= 1);
    if (answer.header("X-Ran") == "no") {
        CHECK(runs == 0);
    }
    if (answer.status == 200) {
        CHECK(runs == 1);
    }
}
