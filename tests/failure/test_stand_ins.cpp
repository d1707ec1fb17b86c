// Tests the tools that the other tests rely on: the answers and run counts of fake_engine, and the faults
// that fault_proxy injects.
#include "support/answer_text.hpp"
#include "support/child_process.hpp"
#include "support/completion.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <filesystem>

using namespace borageford;
using namespace borageford::test;

namespace {

const std::filesystem::path program_folder = BORAGEFORD_PROGRAM_FOLDER;

/// A running fake_engine and a fault_proxy that forwards to it.
struct proxied_engine {
    child_process process{program_folder / "fake_engine", {"--models", "pluma"}, "/dev/null"};
    http::endpoint address = http::parse_endpoint(process.wait_for_line("listening").substr(10));
    fault_proxy proxy{address, proxy_units::raw};
};

} // namespace

// A client loses the connection in the middle of a stream. It must be able to read the remaining bytes by
// their offset, and both reads must count as one run.
TEST_CASE("stand-ins: an engine's stream resumes at any byte and counts one run") {
    proxied_engine engine;
    const auto request = with_header(make_completion("capitulo uno", {.tokens = 30}), "X-Request-Id", "r1");
    engine.proxy.arm(direction::down, contains("delta"), fault::truncate);
    const auto truncated = call(engine.proxy.address(), request);
    engine.proxy.wait_for_fault();
    REQUIRE_FALSE(truncated.is_complete);
    const auto remainder = call(
        engine.address, {"GET", "/v1/streams/r1?offset=" + std::to_string(truncated.body.size()), {}, {}});
    REQUIRE(remainder.is_complete);
    const auto joined = truncated.body + remainder.body;
    CHECK(text_of_stream(joined) == expected_text(request, 30));
    CHECK(has_done_mark(joined));
    const auto runs = fetch_text(engine.address, "/control/runs");
    CHECK(runs.find(R"("r1":1)") != std::string::npos);
}

// The proxy drops the response on one connection, so that its client waits, while a new connection through
// the same proxy works.
TEST_CASE("stand-ins: the proxy drops data on an open connection while new ones work") {
    proxied_engine engine;
    engine.proxy.arm(direction::down, contains("200 OK"), fault::drop);
    pending_call unanswered(engine.proxy.address(), {"GET", "/health", {}, {}});
    engine.proxy.wait_for_fault();
    CHECK(call(engine.proxy.address(), {"GET", "/health", {}, {}}).status == 200);
    CHECK_FALSE(unanswered.is_finished());
}

// Bytes that the proxy held must be delivered on the same connection after their release.
TEST_CASE("stand-ins: the proxy holds bytes and delivers them when released") {
    proxied_engine engine;
    engine.proxy.arm(direction::up, contains("/health"), fault::hold);
    pending_call held(engine.proxy.address(), {"GET", "/health", {}, {}});
    engine.proxy.wait_for_fault();
    CHECK_FALSE(held.is_finished());
    engine.proxy.release();
    CHECK(held.wait().status == 200);
}

// The proxy delivers the request and loses the response. The engine must count the run although the caller
// got no answer.
TEST_CASE("stand-ins: the proxy loses the response to a delivered request") {
    proxied_engine engine;
    engine.proxy.arm(direction::down, contains("200 OK"), fault::lose);
    const auto request = make_completion("perdida", {.tokens = 2, .streamed = false});
    const auto lost = call(engine.proxy.address(), request);
    CHECK(lost.status == 0);
    const auto runs = fetch_text(engine.address, "/control/runs");
    CHECK(runs.find(to_hex(fingerprint_of(request.body)) + "\":1") != std::string::npos);
}

// A client sends a request on a held path and closes the connection. Real packets arrive late and in order,
// so the proxy must deliver the request first and the close right after it.
TEST_CASE("stand-ins: a connection that is closed behind held bytes ends after their delivery") {
    proxied_engine engine;
    engine.proxy.arm(direction::up, contains("/health"), fault::hold);
    const auto begin = std::chrono::steady_clock::now();
    {
        pending_call abandoned(engine.proxy.address(), {"GET", "/health", {}, {}});
        engine.proxy.wait_for_fault();
    }
    const auto closed = std::chrono::steady_clock::now();
    CHECK(engine.proxy.held_units().empty());
    engine.proxy.release();
    wait_until("the end of the connection", [&] {
        const auto held = engine.proxy.held_units();
        return held.size() == 1 && held.front().end.has_value();
    });
    const auto unit = engine.proxy.held_units().front();
    CHECK(unit.bytes.starts_with("GET /health"));
    CHECK(unit.way == direction::up);
    CHECK(unit.received >= begin);
    CHECK(unit.received <= closed);
    CHECK(unit.forwarded >= closed);
    CHECK(unit.end_forwarded >= unit.forwarded);
    wait_until("the removal of the connection", [&] { return engine.proxy.open_connections() == 0; });
}
