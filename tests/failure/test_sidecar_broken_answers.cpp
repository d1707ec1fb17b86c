// Tests that bytes which are no answer never reach a caller of an entry as one, and that the part of an
// answer which its service breaks off doesn't, either.
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/scripted_server_thread.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace borageford;
using namespace borageford::test;
using namespace std::string_literals;

namespace {

// The memory of the smallest machines that the users name.
constexpr std::size_t entry_memory = 110'000'000;
constexpr std::size_t sidecar_memory = 192'000'000;

/// A cluster with one service, whose answers the test writes.
class scripted_cluster {
public:
    scripted_cluster()
        : m_system({.backend_servers = {{.name = "estante-1", .is_service = true, .slots = "32"}},
                    .entry_settings = "memory_limit = " + std::to_string(entry_memory) + "B\n"}) {
        m_server.with_server([](scripted_server& server) {
            server.answer_always("GET /health ", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
        m_system.backend(0).server_link->set_target(m_server.address());
    }

    /// Sends a call that the service answers so.
    caller_result send(const std::string& name, scripted_answer answer) {
        m_server.add(std::move(answer));
        return m_system.send(0, make_service_call(name, name));
    }

    [[nodiscard]] cluster& system() noexcept { return m_system; }
    [[nodiscard]] scripted_server_thread& server() noexcept { return m_server; }

private:
    scripted_server_thread m_server;
    cluster m_system;
};

} // namespace

TEST_CASE("sidecar: bytes that are no answer reach no caller as one", "[sidecar][broken]") {
    scripted_cluster system;
    int number = 0;
    for (const std::string& answer : {
             "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 600 None\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 101 Switching\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok"s,
             "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"s,
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"s,
         }) {
        CAPTURE(answer);
        const auto got = system.send("broken-" + std::to_string(++number), {.bytes = answer});
        CHECK(got.status == 502);
        CHECK(got.header("X-Ran") == "unknown");
    }
}

TEST_CASE("sidecar: an interim answer isn't taken for the answer", "[sidecar][broken]") {
    scripted_cluster system;
    const auto got =
        system.send("interim", {.bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
                                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"});
    CHECK(got.status == 200);
    CHECK(got.body == "whole");
}

TEST_CASE("sidecar: an answer that ends in its head reaches no caller", "[sidecar][broken]") {
    scripted_cluster system;
    const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n"s;
    for (const std::size_t size : {1UL, 17UL, 30UL, head.size() - 1}) {
        CAPTURE(size);
        const auto got = system.send("head-" + std::to_string(size),
                                     {.bytes = head.substr(0, size), .end = scripted_end::close});
        CHECK(got.status == 502);
        CHECK(got.header("X-Ran") == "unknown");
    }
}

TEST_CASE("sidecar: the part of an answer without a length whose service was killed reaches no caller",
          "[sidecar][broken]") {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    scripted_cluster cluster;
    const auto whole = cluster.send("whole", {.bytes = head + "whole", .end = scripted_end::close});
    CHECK(whole.status == 200);
    CHECK(whole.body == "whole");
    const auto part = cluster.send("part", {.bytes = head + "part", .end = scripted_end::die});
    CHECK(part.status == 502);
    CHECK(part.header("X-Ran") == "unknown");
}

TEST_CASE("sidecar: bodies without an end that many callers wait for leave sidecar and entry their memory",
          "[sidecar][broken]") {
    constexpr int calls = 32;
    const std::string head =
        GENERATE("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n");
    scripted_cluster cluster;
    auto& system = cluster.system();
    std::vector<std::unique_ptr<pending_call>> running;
    for (int number = 0; number < calls; ++number) {
        const auto name = "endless-" + std::to_string(number);
        cluster.server().add({.bytes = head, .endless = std::string(1000, 'x')});
        running.push_back(
            std::make_unique<pending_call>(system.entry(0).callers, make_service_call(name, name)));
    }
    for (auto& call : running) {
        CHECK(call->wait().status >= 400);
    }
    const auto after = cluster.send("after", {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
    CHECK(after.body == "ok");
    CHECK(system.backend(0).sidecar->peak_memory() < sidecar_memory);
    CHECK(system.entry(0).process->peak_memory() < entry_memory);
}
