// Tests that the audit trail stays complete when an entry is killed or the object store is down.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

std::string explain(const http::endpoint& admin, const std::string& request) {
    http::request query;
    query.target = "/admin/requests/" + request;
    query.headers.push_back({"Authorization", "Bearer operator-token"});
    return call(admin, query).body;
}

} // namespace

// An entry is killed right after it started a request, before it wrote its audit records. The auditor has the
// request id from the caller's log. The sidecar's records must show that the request ran, and where.
TEST_CASE("audit: if an entry is killed after a start the audit trail still shows where the request ran") {
    cluster system(
        {.entries = 2, .backend_servers = {{.name = "pluma-1"}}, .process_settings = "audit_period = 60s\n"});
    pending_call pending(system.entry(0).callers, make_completion("auditoria", {.tokens = 40}));
    pending.wait_for_bytes(100);
    system.entry(0).process->kill();
    const auto cut = pending.wait();
    const auto request = cut.header("X-Request-Id");
    REQUIRE(request.size() == 32);
    CHECK_FALSE(cut.is_complete);

    // On a graceful shutdown the sidecar writes its records; they would otherwise stay in memory for 60 s.
    system.backend(0).sidecar->terminate();
    wait_until("the sidecar's end", [&] { return !system.backend(0).sidecar->is_running(); });
    const auto text = explain(system.entry(1).admin, request);
    INFO(text);
    CHECK(text.find("It ran on pluma-1") != std::string::npos);
    CHECK(text.find("started") != std::string::npos);
    CHECK(text.find("auditoria") == std::string::npos); // prompts are never recorded
}

// A request is served during an outage of the platform, and its records are read afterwards. None may be
// missing: the processes keep records in memory until the object store accepts them.
TEST_CASE("audit: records made during an outage of the object store are written after it") {
    cluster system({.entries = 1,
                    .backend_servers = {{.name = "pluma-1"}},
                    .process_settings = "audit_period = 100ms\n"});
    system.control_platform(R"({"outage": true})");
    const auto answer = system.send(0, make_completion("corte de luz", {.tokens = 5}));
    CHECK(answer.is_complete);
    const auto request = answer.header("X-Request-Id");
    system.control_platform(R"({"outage": false})");
    wait_until("the records of both sides", [&] {
        const auto text = explain(system.entry(0).admin, request);
        return text.find("The caller had its whole answer") != std::string::npos &&
               text.find("It ended there in full") != std::string::npos;
    });
    CHECK(explain(system.entry(0).admin, request).find("lost records") == std::string::npos);
}
