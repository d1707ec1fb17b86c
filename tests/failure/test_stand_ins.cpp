// The tools of the other tests must themselves do what they say: the stand-ins' answers and counts, and the
// faults of the proxy.
#include "support/answer_text.hpp"
#include "support/child_process.hpp"
#include "support/completion.hpp"
#include "support/fault_proxy.hpp"
#include "support/http_caller.hpp"

#include <catch2/catch.hpp>

#include <filesystem>

using namespace borageford;
using namespace borageford::test;

namespace {

const std::filesystem::path program_folder = BORAGEFORD_PROGRAM_FOLDER;

/// An engine with a proxy before it.
struct proxied_engine {
    child_process process{program_folder / "fake_engine", {"--models", "pluma"}, "/dev/null"};
    http::endpoint address = http::parse_endpoint(process.wait_for_line("listening").substr(10));
    fault_proxy proxy{address, proxy_units::raw};
};

} // namespace

// A stream whose reader is lost half-way must be readable from the exact byte on, and count as one run.
TEST_CASE("stand-ins: an engine's stream resumes at any byte and counts one run") {
    proxied_engine engine;
    const auto request = with_header(make_completion("capitulo uno", {.tokens = 30}), "X-Request-Id", "r1");
    engine.proxy.arm(direction::down, contains("delta"), fault::truncate);
    const auto cut = call(engine.proxy.address(), request);
    engine.proxy.wait_for_fault();
    REQUIRE_FALSE(cut.is_whole);
    const auto rest =
        call(engine.address, {"GET", "/v1/streams/r1?offset=" + std::to_string(cut.body.size()), {}, {}});
    REQUIRE(rest.is_whole);
    const auto whole = cut.body + rest.body;
    CHECK(text_of_stream(whole) == expected_text(request, 30));
    CHECK(has_done_mark(whole));
    const auto runs = fetch_text(engine.address, "/control/runs");
    CHECK(runs.find(R"("r1":1)") != std::string::npos);
}

// Something between two ends loses track of a connection: what was sent on it is never answered, while a new
// connection through the same proxy works.
TEST_CASE("stand-ins: the proxy silences open connections while new ones work") {
    proxied_engine engine;
    engine.proxy.arm(direction::down, contains("200 OK"), fault::drop);
    pending_call silent(engine.proxy.address(), {"GET", "/health", {}, {}});
    engine.proxy.wait_for_fault();
    CHECK(call(engine.proxy.address(), {"GET", "/health", {}, {}}).status == 200);
    CHECK_FALSE(silent.is_finished());
}

// Bytes that were held back must arrive later, in order, on the old connection.
TEST_CASE("stand-ins: the proxy holds bytes back and lets them go") {
    proxied_engine engine;
    engine.proxy.arm(direction::up, contains("/health"), fault::hold);
    pending_call held(engine.proxy.address(), {"GET", "/health", {}, {}});
    engine.proxy.wait_for_fault();
    CHECK_FALSE(held.is_finished());
    engine.proxy.release();
    CHECK(held.wait().status == 200);
}

// The request goes through and its answer is lost: the run is counted although its caller got nothing.
TEST_CASE("stand-ins: the proxy loses an answer after the request went through") {
    proxied_engine engine;
    engine.proxy.arm(direction::down, contains("200 OK"), fault::lose);
    const auto request = make_completion("perdida", {.tokens = 2, .streamed = false});
    const auto lost = call(engine.proxy.address(), request);
    CHECK(lost.status == 0);
    const auto runs = fetch_text(engine.address, "/control/runs");
    CHECK(runs.find(to_hex(fingerprint_of(request.body)) + "\":1") != std::string::npos);
}
