// What an auditor can still read after processes died.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

std::string explain(const http::endpoint& admin, const std::string& request) {
    http::request question;
    question.target = "/admin/requests/" + request;
    question.headers.push_back({"Authorization", "Bearer operator-token"});
    return call(admin, question).body;
}

} // namespace

// An entry is killed right after it started a request, before it wrote its audit records. The auditor has the
// request id from the caller's log and must read from the sidecar's side that it ran, and where.
TEST_CASE("audit: an entry killed after a start doesn't hide where the request ran") {
    cluster system(
        {.entries = 2, .backend_servers = {{.name = "pluma-1"}}, .process_settings = "audit_period = 60s\n"});
    pending_call pending(system.entry(0).callers, make_completion("auditoria", {.tokens = 40}));
    pending.wait_for_bytes(100);
    system.entry(0).process->kill();
    const auto cut = pending.wait();
    const auto request = cut.header("X-Request-Id");
    REQUIRE(request.size() == 32);
    CHECK_FALSE(cut.is_whole);

    // A graceful stop writes the sidecar's records and marks them as its last.
    system.backend(0).sidecar->terminate();
    wait_until("the sidecar's end", [&] { return !system.backend(0).sidecar->is_running(); });
    const auto text = explain(system.entry(1).admin, request);
    INFO(text);
    CHECK(text.find("It ran on pluma-1") != std::string::npos);
    CHECK(text.find("started") != std::string::npos);
    CHECK(text.find("auditoria") == std::string::npos); // prompts are never recorded
}

// A platform outage hits while requests run, and an entry is asked about one afterwards. Nothing may be
// missing: the records waited in memory.
TEST_CASE("audit: records outlive an outage of the object store") {
    cluster system({.entries = 1,
                    .backend_servers = {{.name = "pluma-1"}},
                    .process_settings = "audit_period = 100ms\n"});
    system.control_platform(R"({"outage": true})");
    const auto answer = system.send(0, make_completion("corte de luz", {.tokens = 5}));
    CHECK(answer.is_whole);
    const auto request = answer.header("X-Request-Id");
    system.control_platform(R"({"outage": false})");
    wait_until("the records of both sides", [&] {
        const auto text = explain(system.entry(0).admin, request);
        return text.find("The caller had its whole answer") != std::string::npos &&
               text.find("It ended there in full") != std::string::npos;
    });
    CHECK(explain(system.entry(0).admin, request).find("lost records") == std::string::npos);
}
