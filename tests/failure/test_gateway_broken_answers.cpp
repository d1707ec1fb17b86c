// Tests that an answer which a server breaks off, or which is none, never reaches a caller as a whole answer.
#include "support/gateway_site.hpp"
#include "support/scripted_server_thread.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace borageford;
using namespace borageford::test;
using namespace std::string_literals;

namespace {

constexpr unsigned slots = 64;
constexpr int small_buffer = 16 * 1024;
/// More than the kernel's buffers take on a connection whose receive buffer is small.
constexpr std::size_t long_upload = 3'900'000;

/// A gateway with one server, whose answers the test writes.
class scripted_site {
public:
    scripted_site(const routing::routing_document& configuration, const std::string& service,
                  const std::string& settings = {}) {
        m_server.with_server([](scripted_server& server) { server.set_receive_buffer(small_buffer); });
        m_site = std::make_unique<gateway_site>(
            site_options{.configuration = configuration, .backends = {}, .gateway_settings = settings});
        m_site->register_address("server", service, m_server.address(), slots);
        m_site->wait_until_ready(0);
    }

    [[nodiscard]] scripted_server_thread& server() noexcept { return m_server; }
    [[nodiscard]] gateway_site& site() noexcept { return *m_site; }
    [[nodiscard]] caller_result send(const http::request& call) const { return m_site->send(0, call); }

private:
    scripted_server_thread m_server;
    std::unique_ptr<gateway_site> m_site;
};

/// The fields of an answer to the request whose id takes the place of ID.
const std::string own_fields = "Request-Id: ID\r\nResponse-Signature: server\r\n";

/// The begin of the head of an answer to this request.
std::string success_of(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: server." + id + "\r\n";
}

} // namespace

TEST_CASE("gateway: the part of an answer that is broken off during the upload isn't passed on as a whole",
          "[gateway][broken]") {
    // The server answers a long upload at once, without a length, and closes while the upload goes on.
    using enum scripted_end;
    const auto end = GENERATE(close, reset, shut_down_and_reset);
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    for (int number = 0; number < 5; ++number) {
        const auto id = "upload-" + std::to_string(number);
        site.server().add(
            {.bytes = success_of(id) + "\r\n" + std::string(2000, 'p'), .end = end, .read_before = 100'000});
        CHECK(site.send(make_call("/plain/x", id, std::string(long_upload, 'u'))).status == 502);
    }
}

TEST_CASE("gateway: a stream that is broken off during the upload doesn't end as complete",
          "[gateway][broken]") {
    // The caller has the first event when the server closes while the upload goes on.
    scripted_site site(stream_configuration(false), "engines");
    for (int number = 0; number < 5; ++number) {
        const auto id = "upload-" + std::to_string(number);
        site.server().add(
            {.bytes = success_of(id) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
             .end = scripted_end::shut_down_and_reset,
             .holds_end = true,
             .read_before = 100'000});
        pending_call call(site.site().callers(0), make_call("/stream/x", id, std::string(long_upload, 'u')));
        call.wait_for_bytes(10);
        site.server().with_server([](scripted_server& server) { server.release_ends(); });
        const auto answer = call.wait();
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.is_complete);
    }
}

TEST_CASE("gateway: an answer without a length reaches its caller although the upload still goes on",
          "[gateway][broken]") {
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    site.server().add({.bytes = success_of("upload") + "\r\nwhole",
                       .end = scripted_end::shut_down,
                       .read_before = 100'000});
    const auto answer = site.send(make_call("/plain/x", "upload", std::string(long_upload, 'u')));
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
}

TEST_CASE("gateway: bytes that are no answer end the attempt, and its outcome is unknown",
          "[gateway][broken]") {
    const auto fields = "Request-Id: a\r\nResponse-Signature: server.a\r\n"s;
    const auto whole = "Content-Length: 2\r\n\r\nok"s;
    const auto success = "HTTP/1.1 200 OK\r\n"s + fields;
    const auto answer = GENERATE_COPY(values<std::string>({
        "HTTP/1.1 000 None\r\n" + fields + whole,
        "HTTP/1.1 099 None\r\n" + fields + whole,
        "HTTP/1.1 600 None\r\n" + fields + whole,
        "HTTP/1.1 000 None\r\n" + fields + whole + success + whole,
        success + "X Y: 1\r\n" + whole,
        success + "X\x01Y: 1\r\n" + whole,
        success + "Content-Length : 2\r\n\r\nok",
        success + "Transfer-Encoding: gzip\r\n" + whole,
        success + "X: a\x02" + "b\r\n" + whole,
    }));
    CAPTURE(answer);
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    site.server().add({.bytes = answer});
    CHECK(site.send(make_call("/plain/x", "a")).status == 502);
}

TEST_CASE("gateway: an answer that ends in its head reaches nobody", "[gateway][broken]") {
    const auto end = GENERATE(scripted_end::close, scripted_end::reset, scripted_end::shut_down);
    const auto head = success_of("a") + "Content-Length: 2\r\n\r\n";
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    for (const std::size_t size : {1UL, 12UL, 17UL, 30UL, head.size() - 3, head.size() - 1}) {
        CAPTURE(size);
        site.server().add({.bytes = head.substr(0, size), .end = end});
        CHECK(site.send(make_call("/plain/x", "a")).status == 502);
    }
}

TEST_CASE("gateway: an interim answer isn't taken for the answer", "[gateway][broken]") {
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    site.server().add({.bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                                success_of("a") + "Content-Length: 5\r\n\r\nwhole"});
    const auto answer = site.send(make_call("/plain/x", "a"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "whole");
    CHECK(answer.header("Link").empty());
}

TEST_CASE("gateway: what follows the last chunk of an answer doesn't say that the request hasn't run",
          "[gateway][broken]") {
    // A caller that is told so would send the request again, and it would run twice.
    scripted_site site(plain_configuration(routing::route_kind::non_idempotent), "plain");
    site.server().add({.bytes = success_of("a") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                                "Not-Executed: 1\r\nContent-Type: text/x\r\n\r\n"});
    const auto answer = site.send(make_call("/plain/x", "a"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "ok");
    CHECK(answer.header("Content-Type").empty());
}

TEST_CASE("gateway: bytes without an end that many callers wait for leave it its memory",
          "[gateway][broken]") {
    // Many requests run at a server in trouble at the same time, which sends to all of them until they close.
    constexpr std::size_t memory = 110'000'000;
    const bool is_stream = GENERATE(false, true);
    const auto begin = GENERATE(values<std::string>({
        "",                                                                         // no status line
        "HTTP/1.1 200 OK\r\nX: ",                                                   // a field
        "HTTP/1.1 200 OK\r\n\r\n",                                                  // another request's body
        "HTTP/1.1 200 OK\r\n" + own_fields + "\r\n",                                // a body without a length
        "HTTP/1.1 200 OK\r\n" + own_fields + "Content-Length: 99999999999\r\n\r\n", // with one
        "HTTP/1.1 500 Error\r\n" + own_fields + "\r\n",                             // of a failure
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + own_fields + "\r\n",           // of a refusal
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + own_fields +
            "\r\n1;", // an extension of a chunk
    }));
    CAPTURE(is_stream, begin);
    auto configuration =
        is_stream ? stream_configuration(false) : plain_configuration(routing::route_kind::non_idempotent);
    configuration.routes.front().timeout = std::chrono::milliseconds(700);
    configuration.services.front().connections = 0;
    scripted_site site(configuration, is_stream ? "engines" : "plain",
                       "memory_limit = " + std::to_string(memory) + "B\n");
    std::vector<std::unique_ptr<pending_call>> running;
    for (int number = 0; number < static_cast<int>(slots); ++number) {
        const auto id = "endless-" + std::to_string(number);
        auto bytes = begin;
        if (const auto at = bytes.find("ID"); at != std::string::npos) {
            bytes.replace(at, 2, id);
        }
        site.server().add({.bytes = bytes, .endless = std::string(1000, 'x')});
        auto call = make_call(is_stream ? "/stream/x" : "/plain/x", id);
        running.push_back(std::make_unique<pending_call>(site.site().callers(0), std::move(call)));
    }
    for (auto& call : running) {
        const auto answer = call->wait();
        CHECK_FALSE((answer.status == 200 && answer.is_complete));
    }
    CHECK(site.server().with_server([](const scripted_server& server) { return server.arrivals().size(); }) >
          1);
    CHECK(site.site().process(0).is_running());
    CHECK(site.site().process(0).peak_memory() < memory);
}
