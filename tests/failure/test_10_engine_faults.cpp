// Requirement 10: when an engine is slow, stuck or sends an invalid answer, the caller gets a clear error at
// once.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::test;

namespace {

/// Sets a deadline of one hour. A test would time out if the error were reported only near the deadline.
http::request with_far_deadline(http::request call) {
    return with_header(std::move(call), "X-Deadline", "1h");
}

cluster_options one_engine() {
    return {.entries = 1,
            .backend_servers = {{.name = "pluma-1"}},
            .sidecar_settings = "stall_limit = 1s\nfirst_token_limit = 1s\nwhole_answer_limit = 2s\n"};
}

} // namespace

// The engine stops sending in the middle of a stream and keeps its connection open. The caller's stream must
// end with an error event, so that the caller doesn't take it for complete.
TEST_CASE("10 engine faults: stuck in the middle of a stream") {
    cluster system(one_engine());
    system.control_server(0, R"({"stall_after":5})");
    const auto call = with_far_deadline(make_completion("atascado", {.tokens = 50}));
    const auto answer = system.send(0, call);
    INFO(answer.body);
    CHECK_FALSE(answer.is_complete);
    CHECK_FALSE(has_done_mark(answer.body));
    CHECK(answer.body.find("backend_stalled") != std::string::npos);
    CHECK(system.runs_of(call) == 1);
    system.control_server(0, R"({"stall_after":null})");
    const auto next = make_completion("despues del atasco", {.tokens = 5});
    check_complete_answer(system.send(0, next), next, 5);
}

// The engine accepts the request and sends nothing.
TEST_CASE("10 engine faults: no first token") {
    cluster system(one_engine());
    system.control_server(0, R"({"stall_after":0})");
    const auto call = with_far_deadline(make_completion("mudo", {.tokens = 50}));
    const auto answer = system.send(0, call);
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status == 504);
    CHECK(answer.header("X-Error-Kind") == "backend_stalled");
    CHECK(answer.header("X-Ran") == "yes");
}

// The engine has become a thousand times slower, so that an answer that isn't streamed would take minutes.
TEST_CASE("10 engine faults: far too slow") {
    cluster system(one_engine());
    system.control_server(0, R"({"slowdown":1000})");
    const auto call = with_far_deadline(make_completion("lento", {.tokens = 50, .streamed = false}));
    const auto answer = system.send(0, call);
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status == 504);
    CHECK(answer.header("X-Ran") != "no");
}

// The engine's response is not a valid answer. The caller must get an error, and none of the invalid text.
TEST_CASE("10 engine faults: invalid answer") {
    cluster system(one_engine());
    system.control_server(0, R"({"garble":true})");
    const auto streamed = with_far_deadline(make_completion("basura", {.tokens = 50}));
    const auto answer = system.send(0, streamed);
    INFO(answer.status << ' ' << answer.body);
    CHECK_FALSE((answer.status == 200 && answer.is_complete));
    CHECK_FALSE(has_done_mark(answer.body));
    CHECK(answer.body.find("backend_garbled") != std::string::npos);
    CHECK(answer.body.find("not an answer") == std::string::npos);
    const auto whole = with_far_deadline(make_completion("basura entera", {.tokens = 50, .streamed = false}));
    const auto refused = system.send(0, whole);
    INFO(refused.body);
    CHECK(refused.status == 502);
    CHECK(refused.header("X-Error-Kind") == "backend_garbled");
}

// The engine refuses all requests.
TEST_CASE("10 engine faults: all requests refused") {
    cluster system(one_engine());
    system.control_server(0, R"({"refuse":true})");
    const auto call = with_far_deadline(make_completion("negado", {.tokens = 50}));
    const auto answer = system.send(0, call);
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status >= 500);
    CHECK_FALSE(answer.header("X-Error-Kind").empty());
    CHECK(system.runs_of(call) == 0);
}

// The engine's process was killed. Callers must be told at once that the request didn't run and when to
// retry, and must be served after the engine has restarted.
TEST_CASE("10 engine faults: killed and restarted") {
    cluster system(one_engine());
    system.backend(0).server_link->set_listening(false);
    system.backend(0).server->kill();
    const auto call = with_far_deadline(make_completion("ausente", {.tokens = 5}));
    const auto answer = system.send(0, call);
    INFO(answer.status << ' ' << answer.body);
    CHECK(answer.status == 503);
    CHECK(answer.header("X-Ran") == "no");
    CHECK_FALSE(answer.header("Retry-After").empty());
    system.start_server(0);
    system.backend(0).server_link->set_listening(true);
    wait_until("an answer after the engine's restart", [&] { return system.send(0, call).status == 200; });
}
