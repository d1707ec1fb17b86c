// Tests which requests a gateway accepts from callers, and how it answers each kind of invalid input.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

site_options plain_site(routing::route_kind kind = routing::route_kind::idempotent) {
    site_options options;
    options.configuration = plain_configuration(kind);
    options.backends = {plain_backend("one")};
    return options;
}

std::string raw_request(const std::string& fields, const std::string& body = "") {
    return "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: raw\r\n" + fields + "\r\n" + body;
}

} // namespace

TEST_CASE("gateway: an ambiguously framed request is refused and never runs", "[gateway][ingress]") {
    // Request smuggling: an attacker hides a second request in the body of the first, when two servers
    // determine the body's length from different fields. The hidden request would then be answered on another
    // caller's connection.
    gateway_site site(plain_site());
    const std::string hidden =
        "POST /plain/hidden HTTP/1.1\r\nHost: site.example\r\nRequest-Id: hidden\r\n\r\n";
    const std::vector<std::string> smuggled{
        raw_request("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden),
        raw_request("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n" + hidden),
        raw_request("Content-Length: 3\r\nContent-Length: 5\r\n", "abc" + hidden),
        raw_request("Transfer-Encoding: gzip\r\n", hidden),
        raw_request("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" + hidden),
        raw_request("Transfer-Encoding:\tchunked\r\nTransfer-Encoding: x\r\n", "0\r\n\r\n" + hidden),
        raw_request("X-Folded: a\r\n b\r\nContent-Length: 0\r\n", hidden),
        "POST /plain/x HTTP/1.1\nHost: site.example\nRequest-Id: raw\n\n" + hidden,
        raw_request("Host: other.example\r\nContent-Length: 0\r\n", hidden),
        "POST http://site.example/plain/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 0\r\n\r\n" +
            hidden,
        raw_request("Transfer-Encoding: chunked\r\n", "-1\r\n" + hidden),
    };
    for (const auto& bytes : smuggled) {
        const auto answer = exchange_raw(site.callers(0), bytes, 5s);
        INFO(bytes);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    }
    CHECK(site.runs_of("hidden") == 0);
    CHECK(site.runs_of("raw") == 0);
}

TEST_CASE("gateway: a request over a limit is refused with the status of that limit", "[gateway][ingress]") {
    // A caller sends an endless head or body, or a head byte by byte. Without limits, a few such callers
    // would exhaust the memory or all connections.
    auto options = plain_site();
    options.configuration.limits.header_bytes = 2048;
    options.configuration.limits.body_bytes = 1000;
    options.configuration.limits.header_time = routing::milliseconds(300);
    gateway_site site(options);

    const auto large_head = raw_request("X-Large: " + std::string(4000, 'x') + "\r\n");
    CHECK(exchange_raw(site.callers(0), large_head, 5s).starts_with("HTTP/1.1 431"));
    const auto large_body = raw_request("Content-Length: 2000\r\n", std::string(2000, 'x'));
    CHECK(exchange_raw(site.callers(0), large_body, 5s).starts_with("HTTP/1.1 413"));
    const auto chunked_body =
        raw_request("Transfer-Encoding: chunked\r\n", "5dc\r\n" + std::string(1500, 'x') + "\r\n0\r\n\r\n");
    CHECK(exchange_raw(site.callers(0), chunked_body, 5s).starts_with("HTTP/1.1 413"));
    CHECK(exchange_raw(site.callers(0), "POST /plain/x HT", 20s).starts_with("HTTP/1.1 408"));
    CHECK(site.runs_of("raw") == 0);
}

TEST_CASE("gateway: requests are answered by their route and key", "[gateway][ingress]") {
    // A caller with an outdated key, or with a path that no route serves, must be able to tell the two errors
    // apart. The key must not be forwarded to a server.
    auto options = plain_site();
    options.configuration.workspaces.push_back({"archive", {"secret"}, std::nullopt});
    auto inner = options.configuration.routes.front();
    inner.prefix = "/plain/open/";
    inner.is_public = true;
    options.configuration.routes.push_back(inner);
    gateway_site site(options);

    CHECK(site.send(0, make_call("/elsewhere/x", "a")).status == 404);
    CHECK(site.send(0, make_call("/plain/x", "b")).status == 401);
    CHECK(site.send(0, make_call("/plain/open/x", "c")).status == 200);
    auto call = make_call("/plain/x", "d");
    call.headers.push_back({"Authorization", "Bearer secret"});
    call.headers.push_back({"Tenant-Id", "somebody-else"});
    CHECK(site.send(0, call).status == 200);
    const auto workspace = site.on_emulator([&] { return site.backend(0).runs().back().workspace; });
    CHECK(workspace == "archive");
}

TEST_CASE("gateway: chunked and pipelined requests reach their server complete and in order",
          "[gateway][ingress]") {
    // Callers may send a body of unknown length, and the next request before the previous answer.
    gateway_site site(plain_site());
    const std::string chunked = "POST /plain/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: first\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n";
    const std::string second = "POST /plain/b HTTP/1.1\r\nHost: site.example\r\nRequest-Id: second\r\n"
                               "Content-Length: 2\r\nConnection: close\r\n\r\nhi";
    const auto answers = exchange_raw(site.callers(0), chunked + second, 10s);
    const auto first_at = answers.find("Request-Id: first");
    const auto second_at = answers.find("Request-Id: second");
    REQUIRE(first_at != std::string::npos);
    REQUIRE(second_at != std::string::npos);
    CHECK(first_at < second_at);
    const auto bodies = site.on_emulator([&] {
        std::vector<std::string> result;
        for (const auto& run : site.backend(0).runs()) {
            result.push_back(run.body);
        }
        return result;
    });
    CHECK(bodies == std::vector<std::string>{"abcdefg", "hi"});
}

TEST_CASE("gateway: without a configuration it isn't ready and reports requests as not run",
          "[gateway][ingress]") {
    // The store is unreachable when a gateway starts. Status 404 would tell callers that their route doesn't
    // exist.
    auto options = plain_site();
    options.is_configured = false;
    gateway_site site(options);
    CHECK_FALSE(site.is_ready(0));
    const auto answer = site.send(0, make_call("/plain/x", "early"));
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.header("Retry-After").empty());
    site.configure(options.configuration);
    site.wait_until_ready(0);
    CHECK(site.send(0, make_call("/plain/x", "later")).status == 200);
}

TEST_CASE("gateway: a request that arrives right after a start waits for the configuration",
          "[gateway][ingress]") {
    // All gateways were killed at once and restart. Callers have no other gateway to go to, and the
    // configuration arrives a moment later, so refusing them would be needless.
    auto options = plain_site();
    options.is_configured = false;
    options.gateway_settings = "configuration_patience = 60s\n";
    gateway_site site(options);
    pending_call early(site.callers(0), make_call("/plain/x", "early"));
    pending_call left(site.callers(0), make_call("/plain/x", "left"));
    left.disconnect();
    // The gateway has one thread, so it reads both requests before it answers the readiness check.
    CHECK_FALSE(site.is_ready(0));
    site.configure(options.configuration);
    CHECK(early.wait().status == 200);
    CHECK(site.runs_of("left") == 0);
}
