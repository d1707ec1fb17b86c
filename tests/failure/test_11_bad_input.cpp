// Point 11: bad input at every door gets a clear error, or its connection closed, and harms nobody else.
#include "support/checks.hpp"
#include "support/cluster.hpp"
#include "support/completion.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <string>

using namespace borageford;
using namespace borageford::test;

namespace {

/// How long a raw exchange may last; servers end it far sooner.
constexpr std::chrono::seconds raw_limit{20};

std::string frame_of(const wire::message& content) {
    const auto bytes = wire::encode(1, content);
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

wire::hello_message valid_hello() {
    wire::hello_message hello;
    hello.protocol_version = wire::protocol_version;
    hello.role = wire::process_role::entry;
    hello.incarnation = wire::to_wire(identifier::random());
    hello.vm = "stranger";
    return hello;
}

void check_still_serves(cluster& system, const std::string& after) {
    INFO("after " << after);
    const auto call = make_completion("sigue " + after, {.tokens = 5});
    check_whole_answer(system.send(0, call), call, 5);
}

cluster_options small() {
    return {.entries = 1,
            .backend_servers = {{.name = "pluma-1"}},
            .entry_settings = "request_time = 1s\nheader_limit = 4KiB\nbody_limit = 64KiB\n"};
}

} // namespace

// Something that isn't ours, or a damaged line, writes to the port between our processes. The connection is
// closed; the sidecar goes on with everybody else.
TEST_CASE("11 bad input: frames between our processes") {
    cluster system(small());
    const auto door = system.backend(0).peers_address;
    const auto hello = frame_of(valid_hello());
    const auto offer = frame_of(wire::offer_message{});
    const std::array<std::string, 8> inputs{
        std::string("\xff\xff\xff\xff rubbish"),                    // far over the limit
        std::string("\x00\x00\x00\x00", 4),                         // an empty frame
        std::string("\x00\x00\x00\x08 rubbish", 12),                // no message
        std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),           // another protocol
        hello.substr(0, hello.size() / 2),                          // truncated
        offer,                                                      // no hello first
        hello + offer.substr(0, offer.size() - 3) + "\x01\x02\x03", // damaged after a true hello
        hello + hello,                                              // hello twice
    };
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        static_cast<void>(exchange_raw(door, inputs[index], raw_limit));
        check_still_serves(system, "frame " + std::to_string(index));
    }
    CHECK(system.backend(0).sidecar->is_running());
}

// A true frame with single bytes changed, over and over: whatever the decoder takes it for, the sidecar
// stays.
TEST_CASE("11 bad input: frames with changed bytes") {
    cluster system(small());
    const auto door = system.backend(0).peers_address;
    const auto hello = frame_of(valid_hello());
    wire::offer_message offer;
    offer.dispatch = wire::to_wire(identifier::random());
    offer.workspace = "tinta";
    offer.target = "pluma";
    offer.prefix_hashes = {1, 2, 3};
    const auto frame = frame_of(offer);
    std::mt19937 random(7);
    for (int round = 0; round < 60; ++round) {
        auto changed = frame;
        const auto place = wire::frame_header_size + random() % (frame.size() - wire::frame_header_size);
        changed[place] = static_cast<char>(random());
        // The half frame at the end closes the connection whatever the changed one was taken for.
        static_cast<void>(exchange_raw(door, hello + changed + std::string("\xff\xff\xff\xff"), raw_limit));
    }
    check_still_serves(system, "changed bytes");
    CHECK(system.backend(0).sidecar->is_running());
}

// Callers send what no client should. Each gets the answer that HTTP has for it.
TEST_CASE("11 bad input: malformed HTTP at the callers' door") {
    cluster system(small());
    const auto door = system.entry(0).callers;
    const auto status_of = [&](const std::string& bytes) {
        return exchange_raw(door, bytes, raw_limit).substr(0, 12);
    };
    CHECK(status_of("rubbish\r\n\r\n") == "HTTP/1.1 400");
    CHECK(status_of("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n") ==
          "HTTP/1.1 413");
    CHECK(status_of("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(8000, 'a') + "\r\n\r\n") ==
          "HTTP/1.1 431");
    CHECK(status_of("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: nine\r\n\r\n") ==
          "HTTP/1.1 400");
    const std::string nested(20000, '[');
    auto deep = make_completion("");
    deep.body = nested;
    CHECK(system.send(0, deep).status == 400);
    check_still_serves(system, "malformed HTTP");
}

// A caller sends its request one byte in a long while; it's told so and its connection closed, and the others
// don't wait for it.
TEST_CASE("11 bad input: slow senders") {
    cluster system(small());
    const auto answer = exchange_raw(
        system.entry(0).callers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le", raw_limit);
    CHECK(answer.substr(0, 12) == "HTTP/1.1 408");
    check_still_serves(system, "a slow sender");
}

// A caller that reads nothing of a long answer must not hold the answer of others back.
TEST_CASE("11 bad input: a caller that doesn't read") {
    cluster system(small());
    fault_proxy stopped(system.entry(0).callers, proxy_units::raw);
    stopped.arm(direction::down, contains("200 OK"), fault::hold);
    const auto call = make_completion("sin leer", {.tokens = 300});
    pending_call unread(stopped.address(), call);
    stopped.wait_for_fault();
    check_still_serves(system, "a caller that doesn't read");
    stopped.release();
    check_whole_answer(unread.wait(), call, 300);
}
