// Tests how a gateway forwards the answers of backend servers that misbehave: complete and to the right
// caller, or as a visible failure.
#include "support/gateway_site.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <utility>

using namespace borageford;
using namespace borageford::test;
using namespace std::chrono_literals;
using emulator::backend_fault;

namespace {

constexpr std::size_t mebibyte = 1U << 20;

site_options plain_site(routing::route_kind kind, std::size_t servers) {
    site_options options;
    options.configuration = plain_configuration(kind);
    for (std::size_t index = 0; index < servers; ++index) {
        options.backends.push_back(plain_backend("server-" + std::to_string(index)));
    }
    return options;
}

site_options stream_site(bool is_resumable, std::size_t servers) {
    site_options options;
    options.configuration = stream_configuration(is_resumable);
    for (std::size_t index = 0; index < servers; ++index) {
        options.backends.push_back(engine_backend("engine-" + std::to_string(index)));
    }
    return options;
}

http::request stream_call(const std::string& id, unsigned output_tokens) {
    auto call = make_call("/stream/x", id);
    call.headers.push_back({"Token-Usage", "100," + std::to_string(output_tokens)});
    return call;
}

void set_fault(gateway_site& site, std::size_t server, backend_fault fault, unsigned count = 0) {
    site.on_emulator([&] { site.backend(server).set_fault(fault, count); });
}

void set_fault_everywhere(gateway_site& site, std::size_t servers, backend_fault fault, unsigned count = 0) {
    for (std::size_t server = 0; server < servers; ++server) {
        set_fault(site, server, fault, count);
    }
}

/// Returns the numbers of the events in a stream's body.
std::vector<int> event_numbers(const std::string& body) {
    std::vector<int> numbers;
    for (auto at = body.find("id: "); at != std::string::npos; at = body.find("id: ", at + 1)) {
        numbers.push_back(std::stoi(body.substr(at + 4)));
    }
    return numbers;
}

std::vector<int> numbers_up_to(int last) {
    std::vector<int> numbers;
    for (int number = 1; number <= last; ++number) {
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace

TEST_CASE("gateway: an idle connection is closed when its keep-alive time is over", "[gateway][carriage]") {
    // A server accepts a limited number of connections in total. Each gateway kept its idle connections until
    // it sent the next request to that server, and new connections were reset in the meantime.
    auto options = plain_site(routing::route_kind::idempotent, 1);
    options.backends.front().keep_alive = 1s;
    gateway_site site(std::move(options));
    CHECK(site.send(0, make_call("/plain/x", "only")).status == 200);
    wait_until("the server has no connection left",
               [&] { return site.on_emulator([&] { return site.backend(0).open_connections(); }) == 0; });
}

TEST_CASE("gateway: a non-idempotent call whose answer is lost runs once and isn't reported as not run",
          "[gateway][carriage]") {
    // The server does the work and its connection breaks before the answer is sent. If the gateway retried, a
    // kudos would count twice; if it answered "not run", the caller would retry it.
    gateway_site site(plain_site(routing::route_kind::non_idempotent, 2));
    set_fault_everywhere(site, 2, backend_fault::cut_unanswered, 1);
    const auto answer = site.send(0, make_call("/plain/x", "once"));
    CHECK(answer.status == 502);
    CHECK(site.runs_of("once") == 1);
}

TEST_CASE("gateway: an idempotent call whose answer is lost is retried on another server",
          "[gateway][carriage]") {
    // One server's answers are lost. The caller of an idempotent call must not notice.
    gateway_site site(plain_site(routing::route_kind::idempotent, 2));
    set_fault(site, 0, backend_fault::cut_unanswered);
    for (int index = 0; index < 4; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "call-" + std::to_string(index))).status == 200);
    }
}

TEST_CASE("gateway: a request of any kind that a server refuses is retried on another server",
          "[gateway][carriage]") {
    // A full server states that it didn't run the request, so a retry elsewhere can't duplicate its effect.
    gateway_site site(plain_site(routing::route_kind::non_idempotent, 2));
    set_fault(site, 0, backend_fault::refuse);
    for (int index = 0; index < 4; ++index) {
        const auto id = "call-" + std::to_string(index);
        CHECK(site.send(0, make_call("/plain/x", id)).status == 200);
        CHECK(site.runs_of(id) == 1);
    }
}

TEST_CASE("gateway: a request that every server refuses is reported as not run", "[gateway][carriage]") {
    // All servers are full. The caller is told when to retry.
    gateway_site site(plain_site(routing::route_kind::non_idempotent, 2));
    set_fault_everywhere(site, 2, backend_fault::refuse);
    const auto answer = site.send(0, make_call("/plain/x", "nowhere"));
    CHECK(answer.status == 503);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK(site.runs_of("nowhere") == 0);
}

TEST_CASE("gateway: bytes that belong to no answer are not forwarded", "[gateway][carriage]") {
    // A faulty server sends invalid bytes, half an answer, or a second answer that belongs to no request. A
    // caller must not receive any of this as its answer.
    const auto fault =
        GENERATE(backend_fault::garble, backend_fault::cut_midway, backend_fault::second_answer);
    gateway_site site(plain_site(routing::route_kind::idempotent, 2));
    set_fault_everywhere(site, 2, fault, 1);
    for (int index = 0; index < 6; ++index) {
        const auto id = "call-" + std::to_string(index);
        const auto answer = site.send(0, make_call("/plain/x", id));
        CHECK(answer.status == 200);
        CHECK(answer.header("Request-Id") == id);
        CHECK(answer.body.starts_with(R"({"run":)"));
        CHECK(answer.is_complete);
    }
}

TEST_CASE("gateway: a refusal that a server repeats late isn't taken for the answer to the next attempt",
          "[gateway][carriage]") {
    // The caller would be told that its request hasn't run while the server runs it, or it would run twice.
    const bool is_stream = GENERATE(false, true);
    auto options = is_stream ? stream_site(false, 1) : plain_site(routing::route_kind::non_idempotent, 1);
    options.configuration.routes.front().attempts = GENERATE(1, 3);
    gateway_site site(options);
    for (int index = 0; index < 4; ++index) {
        const auto id = "call-" + std::to_string(index);
        set_fault(site, 0, backend_fault::refuse_and_repeat, 1);
        const auto answer = site.send(0, is_stream ? stream_call(id, 8) : make_call("/plain/x", id));
        CHECK(answer.status == 200);
        CHECK(site.runs_of(id) == 1);
    }
}

TEST_CASE("gateway: a success that names no request reaches no caller", "[gateway][carriage]") {
    // The caller of a call that runs once would get an "ok" before the server has done its work.
    gateway_site site(plain_site(routing::route_kind::non_idempotent, 1));
    for (int index = 0; index < 4; ++index) {
        const auto id = "call-" + std::to_string(index);
        set_fault(site, 0, backend_fault::unnamed_answer, 1);
        CHECK(site.send(0, make_call("/plain/x", id)).body == R"({"run":)" + std::to_string(index) + "}");
        CHECK(site.runs_of(id) == 1);
    }
}

TEST_CASE("gateway: a success without the server's signature reaches no caller", "[gateway][carriage]") {
    gateway_site site(plain_site(routing::route_kind::non_idempotent, 1));
    set_fault(site, 0, backend_fault::unsigned_answer, 1);
    CHECK(site.send(0, make_call("/plain/x", "once")).status == 502);
    CHECK(site.runs_of("once") == 1);
}

TEST_CASE("gateway: a server's 503 after a run isn't passed on as a promise that the request hasn't run",
          "[gateway][carriage]") {
    const auto [site_of, target] =
        GENERATE(std::pair(plain_site(routing::route_kind::non_idempotent, 2), "/plain/x"),
                 std::pair(stream_site(false, 2), "/stream/x"));
    gateway_site site(site_of);
    set_fault_everywhere(site, 2, backend_fault::unavailable);
    const auto answer = site.send(0, make_call(target, "once"));
    CHECK(answer.status == 502);
    CHECK(answer.header("Response-Signature").empty());
    CHECK(site.runs_of("once") == 1);
}

TEST_CASE("gateway: a server's 503 after a run that is too long to be held isn't passed on, either",
          "[gateway][carriage]") {
    auto options = plain_site(routing::route_kind::non_idempotent, 1);
    options.backends.front().padding = 17 * mebibyte;
    gateway_site site(options);
    set_fault(site, 0, backend_fault::unavailable);
    CHECK(site.send(0, make_call("/plain/x", "once")).status == 502);
    CHECK(site.runs_of("once") == 1);
}

TEST_CASE("gateway: an idempotent call that a server answers 503 after a run goes to another server",
          "[gateway][carriage]") {
    gateway_site site(plain_site(routing::route_kind::idempotent, 2));
    set_fault(site, 0, backend_fault::unavailable);
    for (int index = 0; index < 4; ++index) {
        CHECK(site.send(0, make_call("/plain/x", "call-" + std::to_string(index))).status == 200);
    }
}

TEST_CASE("gateway: an answer that a server repeats late isn't taken for a later one with the same id",
          "[gateway][carriage]") {
    // A caller that uses an id twice would get the answer to its earlier request.
    gateway_site site(plain_site(routing::route_kind::idempotent, 1));
    set_fault(site, 0, backend_fault::repeat, 1);
    CHECK(site.send(0, make_call("/plain/x", "same")).body == R"({"run":0})");
    CHECK(site.send(0, make_call("/plain/x", "same")).body == R"({"run":1})");
}

TEST_CASE("gateway: an answer without a length is complete when its connection is closed normally",
          "[gateway][carriage]") {
    // An old server ends its answers by closing the connection. The caller's connection stays open, so its
    // answer needs a length.
    gateway_site site(plain_site(routing::route_kind::idempotent, 1));
    set_fault(site, 0, backend_fault::unframed);
    const auto answer = site.send(0, make_call("/plain/x", "a"));
    CHECK(answer.status == 200);
    CHECK(answer.header("Content-Length") == std::to_string(answer.body.size()));
}

TEST_CASE("gateway: the events of a stream arrive complete and in order with the server's signature",
          "[gateway][carriage]") {
    gateway_site site(stream_site(false, 1));
    const auto answer = site.send(0, stream_call("s", 40));
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(answer.header("Response-Signature") == "engine-0.0");
    CHECK(event_numbers(answer.body) == numbers_up_to(11));
}

TEST_CASE("gateway: a broken stream that isn't resumable is aborted and runs once", "[gateway][carriage]") {
    // The engine crashes in the middle of an event. The caller must not mistake the part for the complete
    // stream or get half an event, and no second engine may run the request at the caller's expense.
    gateway_site site(stream_site(false, 2));
    set_fault_everywhere(site, 2, backend_fault::cut_midway, 1);
    const auto answer = site.send(0, stream_call("s", 40));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.is_complete);
    CHECK(answer.body.ends_with("\n\n"));
    CHECK(event_numbers(answer.body) == std::vector<int>{1});
    CHECK(site.runs_of("s") == 1);
}

TEST_CASE("gateway: a broken stream that is resumable continues at another engine without a gap",
          "[gateway][carriage]") {
    // The engine crashes in the middle of an event, and another one can continue after the last complete
    // event. The caller gets each event once, with the head of the first engine's response.
    gateway_site site(stream_site(true, 2));
    set_fault_everywhere(site, 2, backend_fault::cut_midway, 1);
    const auto answer = site.send(0, stream_call("s", 40));
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(event_numbers(answer.body) == numbers_up_to(11));
    CHECK(site.runs_of("s") == 3);
}

TEST_CASE("gateway: a stream that broke in its first event begins anew at another engine",
          "[gateway][carriage]") {
    // The engine crashes in the middle of the first event, before the caller got anything. If the gateway
    // kept that part of an event, the caller's first event would begin with it.
    gateway_site site(stream_site(true, 2));
    set_fault_everywhere(site, 2, backend_fault::cut_first_event, 1);
    const auto answer = site.send(0, stream_call("s", 40));
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(answer.body.starts_with("id: 1\ndata: token 1\n\nid: 2\n"));
    CHECK(event_numbers(answer.body) == numbers_up_to(11));
    CHECK(site.runs_of("s") == 3);
}

TEST_CASE("gateway: a stream without a length or chunks is complete when it ends between two events",
          "[gateway][carriage]") {
    gateway_site site(stream_site(true, 1));
    set_fault(site, 0, backend_fault::unframed);
    const auto answer = site.send(0, stream_call("s", 8));
    CHECK(answer.status == 200);
    CHECK(answer.is_complete);
    CHECK(event_numbers(answer.body) == numbers_up_to(8));
}

TEST_CASE("gateway: a stream without a length or chunks that ends inside an event is resumed",
          "[gateway][carriage]") {
    gateway_site site(stream_site(true, 2));
    set_fault_everywhere(site, 2, backend_fault::unframed_midway, 1);
    for (int index = 0; index < 2; ++index) {
        const auto answer = site.send(0, stream_call("s" + std::to_string(index), 40));
        CHECK(answer.status == 200);
        CHECK(answer.is_complete);
        CHECK(event_numbers(answer.body) == numbers_up_to(11));
    }
}

TEST_CASE("gateway: a stream without a length whose server was killed between two events isn't complete",
          "[gateway][carriage]") {
    // Guards against taking the part of a stream that a killed process has sent for the whole.
    const bool is_resumable = GENERATE(false, true);
    gateway_site site(stream_site(is_resumable, 2));
    // One of two consecutive streams goes to the server that is to be killed.
    for (std::size_t server = 0; server < 2; ++server) {
        set_fault(site, 1 - server, backend_fault::none);
        set_fault(site, server, backend_fault::unframed_killed, 1);
        const auto answer = site.send(0, stream_call("s" + std::to_string(server), 40));
        const bool was_killed = site.arrivals_at(server) > 0;
        CHECK(answer.status == 200);
        CHECK(answer.is_complete == (is_resumable || !was_killed));
        CHECK(event_numbers(answer.body) == numbers_up_to(is_resumable || !was_killed ? 11 : 2));
        if (was_killed) {
            break;
        }
    }
}

TEST_CASE("gateway: the request of a caller that disconnects is cancelled", "[gateway][carriage]") {
    // The caller of a long stream disconnects. The engine would otherwise continue for nobody and occupy a
    // slot.
    gateway_site site(stream_site(false, 1));
    pending_call pending(site.callers(0), stream_call("long", 100000));
    pending.wait_for_bytes(10);
    CHECK(site.on_emulator([&] { return site.backend(0).in_progress(); }) == 1);
    pending.disconnect();
    wait_until("the engine is free",
               [&] { return site.on_emulator([&] { return site.backend(0).in_progress(); }) == 0; });
}

TEST_CASE("gateway: a call to a hanging server ends with the request's deadline", "[gateway][carriage]") {
    // A server accepts the request and never answers. It may have run the request, so the caller gets an
    // error that doesn't claim otherwise, before its deadline.
    auto options = plain_site(routing::route_kind::idempotent, 1);
    options.configuration.routes.front().timeout = routing::milliseconds(400);
    gateway_site site(options);
    set_fault(site, 0, backend_fault::hang);
    const auto answer = site.send(0, make_call("/plain/x", "hung"));
    CHECK(answer.status == 504);
    CHECK(site.runs_of("hung") == 1);
}

TEST_CASE("gateway: an event without an end ends the attempt and not the gateway", "[gateway][carriage]") {
    // The gateway holds an event until it is complete, so that one without an end would take all its memory.
    const bool is_resumable = GENERATE(false, true);
    const bool has_limit = GENERATE(false, true);
    auto options = stream_site(is_resumable, 2);
    options.gateway_settings = has_limit ? "memory_limit = 88MiB\n" : "";
    gateway_site site(options);
    set_fault_everywhere(site, 2, backend_fault::endless, 1);
    const auto answer = site.send(0, stream_call("s", 40));
    CHECK(answer.status == (is_resumable ? 200 : 502));
    CHECK(answer.is_complete);
    CHECK(site.runs_of("s") == (is_resumable ? 3 : 1));
    set_fault_everywhere(site, 2, backend_fault::none);
    wait_until("no server works for nobody", [&] {
        return site.on_emulator(
                   [&] { return site.backend(0).in_progress() + site.backend(1).in_progress(); }) == 0;
    });
    CHECK(site.send(0, stream_call("next", 40)).status == 200);
    CHECK(site.process(0).peak_memory() < 88 * mebibyte);
}

TEST_CASE("gateway: an answer without an end is cut at its deadline, and its server counts as faulty",
          "[gateway][carriage]") {
    const bool has_limit = GENERATE(false, true);
    auto options = plain_site(routing::route_kind::non_idempotent, 1);
    options.configuration.routes.front().timeout = routing::milliseconds(400);
    options.gateway_settings = has_limit ? "memory_limit = 88MiB\n" : "";
    gateway_site site(options);
    set_fault(site, 0, backend_fault::endless);
    constexpr int rests_after = 3;
    for (int index = 0; index < rests_after; ++index) {
        const auto id = "endless-" + std::to_string(index);
        const auto answer = site.send(0, make_call("/plain/x", id));
        CHECK((answer.status == 504 || !answer.is_complete));
        CHECK(site.runs_of(id) == 1);
    }
    wait_until("the server rests", [&] { return site.has_logged(0, "backend_resting"); });
    wait_until("the server is free",
               [&] { return site.on_emulator([&] { return site.backend(0).in_progress(); }) == 0; });
    CHECK(site.process(0).peak_memory() < 88 * mebibyte);
}
