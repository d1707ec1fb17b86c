// Tests that a gateway withstands callers that don't behave: its process lives, its memory and its
// descriptors stay within their bounds, and ordinary callers are answered.
#include "support/gateway_site.hpp"
#include "support/hostile_crowd.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = 1U << 20;
/// The memory of the machine, as the settings name it.
constexpr std::size_t memory = 64 * mebibyte;
const std::string small_memory = "memory_limit = 64MiB\n";
/// More descriptors than a gateway has open while no caller is connected.
constexpr std::size_t own_descriptors = 200;
/// How often an ordinary caller tries while the crowd is there.
constexpr int tries = 10;

std::string head(const std::string& fields, const std::string& id = "crowd") {
    return "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 30000\r\n" + fields + "\r\n";
}

std::string with_length(std::size_t bytes) {
    return head("Content-Length: " + std::to_string(bytes) + "\r\n");
}

const std::string chunked = "Transfer-Encoding: chunked\r\n";
constexpr std::size_t longest_body = 4'000'000;

site_options one_server(const std::string& settings, std::chrono::milliseconds work = 10ms) {
    site_options options;
    options.configuration = plain_configuration(routing::route_kind::idempotent);
    options.configuration.routes.front().timeout = 30s;
    options.configuration.services.front().connections = 0;
    auto server = plain_backend("server-0");
    server.slots = 1000;
    server.work = work;
    options.backends.push_back(std::move(server));
    options.gateway_settings = settings;
    return options;
}

unsigned send_ordinary(const gateway_site& site, const std::string& id) {
    return send_in_two_parts(site.callers(0), head("Content-Length: 20000\r\n", id), std::string(20000, 'o'));
}

/// An ordinary caller comes back when it is refused, as callers do.
bool is_ordinary_answered(const gateway_site& site) {
    for (int number = 0; number < tries; ++number) {
        if (send_ordinary(site, "during-" + std::to_string(number)) == 200) {
            return true;
        }
    }
    return false;
}

void check_process(gateway_site& site) {
    CHECK(site.process(0).is_running());
    CHECK(site.process(0).peak_memory() < memory);
}

void check_afterwards(gateway_site& site) {
    wait_until("the crowd's descriptors are closed",
               [&] { return count_descriptors(site.process(0)) < own_descriptors; });
    CHECK(send_ordinary(site, "after") == 200);
    check_process(site);
}

/// Plays a crowd in front of an address of the gateway while an ordinary caller comes.
void withstand(gateway_site& site, const http::endpoint& address, const crowd_script& script) {
    {
        const hostile_crowd crowd(address, script);
        crowd.wait_until_settled();
        CHECK(is_ordinary_answered(site));
        check_process(site);
    }
    check_afterwards(site);
}

void withstand(const std::string& settings, const crowd_script& script) {
    gateway_site site(one_server(settings));
    withstand(site, site.callers(0), script);
}

} // namespace

TEST_CASE("hostile: bodies far over the limit that are announced end no gateway", "[hostile]") {
    withstand(small_memory, {.members = 500,
                             .first = with_length(10'000'000'000),
                             .piece = std::string(100'000, 'b'),
                             .pieces = 20,
                             .reconnections = 500});
}

TEST_CASE("hostile: bodies far over the limit that are just sent end no gateway", "[hostile]") {
    withstand(small_memory, {.members = 500,
                             .first = head(chunked),
                             .piece = "10000\r\n" + std::string(0x10000, 'c') + "\r\n",
                             .pieces = 100,
                             .reconnections = 500});
}

TEST_CASE("hostile: announced bodies that never come take no memory", "[hostile]") {
    withstand(small_memory, {.members = 3000, .first = with_length(longest_body) + "b"});
}

TEST_CASE("hostile: bodies that never end leave room for those of ordinary callers", "[hostile]") {
    withstand(small_memory, {.members = 400,
                             .first = with_length(longest_body) + std::string(60'000, 'b'),
                             .reconnections = 4000});
}

TEST_CASE("hostile: heads that never end leave room for ordinary callers", "[hostile]") {
    withstand(small_memory,
              {.members = 3000,
               .first = "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nX: " + std::string(16'000, 'h'),
               .reconnections = 6000});
}

TEST_CASE("hostile: heads that arrive byte by byte leave ordinary callers their answers", "[hostile]") {
    withstand(small_memory, {.members = 200,
                             .first = "POST /plain/x HTTP/1.1\r\nHost: site.example\r\nX: ",
                             .piece = "h",
                             .pieces = 2000});
}

TEST_CASE("hostile: bytes behind requests that run take no memory", "[hostile]") {
    gateway_site site(one_server(small_memory, 8s));
    const hostile_crowd crowd(site.callers(0), {.members = 900,
                                                .first = head("Content-Length: 0\r\n"),
                                                .piece = std::string(140'000, 'p'),
                                                .pieces = 1});
    crowd.wait_until_settled();
    check_process(site);
    CHECK(site.send(0, make_call("/none", "during")).status == 404);
}

TEST_CASE("hostile: complete requests with long heads that run take no memory", "[hostile]") {
    gateway_site site(one_server(small_memory, 8s));
    const hostile_crowd crowd(site.callers(0),
                              {.members = 3000,
                               .first = head("Content-Length: 0\r\nX: " + std::string(15'000, 'h') + "\r\n"),
                               .reconnections = 3000});
    crowd.wait_until_settled();
    check_process(site);
    CHECK(site.send(0, make_call("/none", "during")).status == 404);
}

TEST_CASE("hostile: requests without end behind each other leave ordinary callers their answers",
          "[hostile]") {
    std::string requests;
    for (int number = 0; number < 100; ++number) {
        requests += head("Content-Length: 0\r\n");
    }
    withstand(small_memory, {.members = 50, .first = requests, .piece = requests, .pieces = 5});
}

TEST_CASE("hostile: an extension of a chunk without end takes no memory", "[hostile]") {
    withstand(
        "",
        {.members = 1, .first = head(chunked) + "5;", .piece = std::string(mebibyte, 'e'), .pieces = 300});
}

TEST_CASE("hostile: a trailer without end takes no memory", "[hostile]") {
    withstand("", {.members = 1,
                   .first = head(chunked) + "5\r\nhello\r\n0\r\nA: ",
                   .piece = std::string(mebibyte, 't'),
                   .pieces = 300});
}

TEST_CASE("hostile: bodies for the address of the metrics take no memory", "[hostile]") {
    gateway_site site(one_server(small_memory));
    withstand(site, site.metrics(0), unfinished_bodies("/metrics"));
}

TEST_CASE("hostile: bodies for the address of the readiness checks take no memory", "[hostile]") {
    gateway_site site(one_server(small_memory));
    withstand(site, site.readiness(0), unfinished_bodies("/borageford/readyz"));
}

TEST_CASE("hostile: bodies for the address of other gateways take no memory", "[hostile]") {
    gateway_site site(one_server(small_memory));
    withstand(site, site.peers(0), unfinished_bodies("/backends"));
}

namespace {

/// More callers than a gateway with 300 descriptors can hold.
void withstand_connections(const std::string& first) {
    constexpr std::size_t descriptors = 300;
    gateway_site site(one_server(small_memory + "descriptor_limit = 300\n"));
    {
        const hostile_crowd crowd(site.callers(0), {.members = 500, .first = first, .reconnections = 2000});
        crowd.wait_until_settled();
        CHECK(is_ordinary_answered(site));
        CHECK(count_descriptors(site.process(0)) < descriptors);
        check_process(site);
    }
    check_afterwards(site);
}

} // namespace

TEST_CASE("hostile: idle connections without end leave descriptors to ordinary callers", "[hostile]") {
    withstand_connections("");
}

TEST_CASE("hostile: connections with an announced body leave descriptors to ordinary callers", "[hostile]") {
    withstand_connections(with_length(longest_body) + "b");
}

TEST_CASE("hostile: connections with a begun head leave descriptors to ordinary callers", "[hostile]") {
    withstand_connections("POST /plain/x HTTP/1.1\r\nHost: site.example\r\n");
}

TEST_CASE("hostile: idle connections for the readiness checks leave descriptors to them", "[hostile]") {
    gateway_site site(one_server(small_memory + "descriptor_limit = 300\n"));
    const hostile_crowd crowd(site.readiness(0), {.members = 500, .reconnections = 2000});
    crowd.wait_until_settled();
    CHECK(site.is_ready(0));
    CHECK(is_ordinary_answered(site));
    CHECK(count_descriptors(site.process(0)) < 300);
    check_process(site);
}

TEST_CASE("hostile: the largest request inside the limits is served on the smallest machine", "[hostile]") {
    gateway_site site(one_server("memory_limit = 88MiB\n"));
    const auto limits = routing::caller_limits{};
    const std::string length = "Content-Length: " + std::to_string(limits.body_bytes) + "\r\n";
    const std::string before = "X: ";
    const auto filled = head(length + before + "\r\n", "largest").size();
    const auto largest =
        head(length + before + std::string(limits.header_bytes - filled, 'h') + "\r\n", "largest");
    REQUIRE(largest.size() == limits.header_bytes);
    CHECK(send_in_two_parts(site.callers(0), largest, std::string(limits.body_bytes, 'b')) == 200);
    const auto chunk = "200000\r\n" + std::string(limits.body_bytes / 2, 'b') + "\r\n";
    const auto in_chunks = chunk + chunk + "0\r\n\r\n";
    CHECK(send_in_two_parts(site.callers(0), head(chunked, "chunked"), in_chunks) == 200);
    CHECK(site.process(0).peak_memory() < 88 * mebibyte);
}
