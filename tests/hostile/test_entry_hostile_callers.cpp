// Tests that an entry and a sidecar withstand callers that don't behave, at each of their addresses.
#include "support/cluster.hpp"
#include "support/hostile_crowd.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

constexpr std::size_t mebibyte = 1U << 20;
/// The memory of each machine. An entry's settings name it where its bounds depend on it.
constexpr std::size_t memory = 64 * mebibyte;

cluster_options one_entry(const std::string& settings = "") {
    cluster_options options;
    options.entries = 1;
    options.entry_settings = settings;
    return options;
}

const std::string small_memory = "memory_limit = 64MiB\n";

/// Announces a frame of almost the largest size and sends a kilobyte of it.
crowd_script announced_frame() {
    return {.members = 100, .first = std::string("\x00\x7f\xff\xff", 4) + std::string(1000, 'f')};
}

void withstand(cluster& site, child_process& process, const http::endpoint& address,
               const crowd_script& script) {
    {
        const hostile_crowd crowd(address, script);
        crowd.wait_until_settled();
        site.wait_for_entry(0);
        CHECK(process.is_running());
        CHECK(process.peak_memory() < memory);
    }
    site.wait_for_entry(0);
    CHECK(process.is_running());
    CHECK(process.peak_memory() < memory);
}

} // namespace

TEST_CASE("hostile: bodies for an entry that never end take no memory", "[hostile]") {
    cluster site(one_entry(small_memory));
    withstand(site, *site.entry(0).process, site.entry(0).callers, unfinished_bodies("/v1/chat/completions"));
}

TEST_CASE("hostile: bodies for the administration address take no memory", "[hostile]") {
    cluster site(one_entry(small_memory));
    withstand(site, *site.entry(0).process, site.entry(0).admin, unfinished_bodies("/v1/plans"));
}

TEST_CASE("hostile: bodies for the status address of a sidecar take no memory", "[hostile]") {
    cluster site(one_entry());
    withstand(site, *site.backend(0).sidecar, site.backend(0).status_address, unfinished_bodies("/metrics"));
}

TEST_CASE("hostile: an extension of a chunk without end takes no memory of an entry", "[hostile]") {
    cluster site(one_entry());
    const crowd_script script{.members = 1,
                              .first = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n5;",
                              .piece = std::string(mebibyte, 'e'),
                              .pieces = 300};
    withstand(site, *site.entry(0).process, site.entry(0).callers, script);
}

TEST_CASE("hostile: announced frames take no memory of a sidecar", "[hostile]") {
    cluster site(one_entry());
    withstand(site, *site.backend(0).sidecar, site.backend(0).peers_address, announced_frame());
}

TEST_CASE("hostile: announced frames take no memory of an entry", "[hostile]") {
    cluster site(one_entry());
    withstand(site, *site.entry(0).process, site.entry(0).peers, announced_frame());
}

TEST_CASE("hostile: idle connections without end leave places to ordinary callers of an entry", "[hostile]") {
    auto options = one_entry("connections = 100\n");
    cluster site(options);
    const hostile_crowd crowd(site.entry(0).callers, {.members = 300, .reconnections = 2000});
    crowd.wait_until_settled();
    site.wait_for_entry(0);
    CHECK(count_descriptors(*site.entry(0).process) < 200);
}

TEST_CASE("hostile: connections without a hello leave places to the entries of a sidecar", "[hostile]") {
    auto options = one_entry();
    options.backend_servers = {{.name = "pluma-1"}};
    options.sidecar_settings = "peer_connections = 20\n";
    cluster site(options);
    const hostile_crowd crowd(site.backend(0).peers_address, {.members = 100, .reconnections = 10'000});
    crowd.wait_until_settled();
    site.entry(0).process->kill();
    site.start_entry(0);
    site.wait_for_entry(0);
    CHECK(count_descriptors(*site.backend(0).sidecar) < 100);
}
