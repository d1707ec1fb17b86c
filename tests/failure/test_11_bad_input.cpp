// Guarantee 11: invalid input on any port is answered with an error or by closing the connection, and doesn't
// affect other callers.
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

/// Timeout of an exchange of raw bytes. Servers are expected to end it long before.
constexpr std::chrono::seconds raw_limit{20};

/// The message as an encoded frame of configuration revision 1.
std::string encode_frame(const wire::message& content) {
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
    check_complete_answer(system.send(0, call), call, 5);
}

cluster_options small_cluster() {
    return {.entries = 1,
            .backend_servers = {{.name = "pluma-1"}},
            .entry_settings = "request_time = 1s\nheader_limit = 4KiB\nbody_limit = 64KiB\n"};
}

} // namespace

// A foreign program or a faulty network sends invalid data to the port for other borageford processes. The
// sidecar must close that connection and continue to serve all others.
TEST_CASE("11 bad input: frames between our processes") {
    cluster system(small_cluster());
    const auto address = system.backend(0).peers_address;
    const auto hello = encode_frame(valid_hello());
    const auto offer = encode_frame(wire::offer_message{});
    const std::array<std::string, 8> inputs{
        std::string("\xff\xff\xff\xff rubbish"),                    // frame length above the limit
        std::string("\x00\x00\x00\x00", 4),                         // empty frame
        std::string("\x00\x00\x00\x08 rubbish", 12),                // frame without a valid message
        std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),           // another protocol
        hello.substr(0, hello.size() / 2),                          // truncated frame
        offer,                                                      // offer without a hello before it
        hello + offer.substr(0, offer.size() - 3) + "\x01\x02\x03", // corrupted offer after a valid hello
        hello + hello,                                              // two hello messages
    };
    for (std::size_t index = 0; index < inputs.size(); ++index) {
        static_cast<void>(exchange_raw(address, inputs[index], raw_limit));
        check_still_serves(system, "frame " + std::to_string(index));
    }
    CHECK(system.backend(0).sidecar->is_running());
}

// Valid frames in each of which one random byte is changed. Whatever the decoder makes of them, the sidecar
// must keep running and serving others.
TEST_CASE("11 bad input: frames with changed bytes") {
    cluster system(small_cluster());
    const auto address = system.backend(0).peers_address;
    const auto hello = encode_frame(valid_hello());
    wire::offer_message offer;
    offer.dispatch = wire::to_wire(identifier::random());
    offer.workspace = "tinta";
    offer.target = "pluma";
    offer.prefix_hashes = {1, 2, 3};
    const auto frame = encode_frame(offer);
    std::mt19937 random(7);
    for (int round = 0; round < 60; ++round) {
        auto changed = frame;
        const auto position = wire::frame_header_size + random() % (frame.size() - wire::frame_header_size);
        changed[position] = static_cast<char>(random());
        // The invalid frame length at the end makes the sidecar close the connection in any case.
        static_cast<void>(
            exchange_raw(address, hello + changed + std::string("\xff\xff\xff\xff"), raw_limit));
    }
    check_still_serves(system, "changed bytes");
    CHECK(system.backend(0).sidecar->is_running());
}

// Callers send malformed or oversized HTTP requests. Each must be answered with the HTTP status for its
// error.
TEST_CASE("11 bad input: malformed HTTP at the port for callers") {
    cluster system(small_cluster());
    const auto address = system.entry(0).callers;
    const auto status_of = [&](const std::string& bytes) {
        return exchange_raw(address, bytes, raw_limit).substr(0, 12);
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

// A caller doesn't send its request completely within the timeout. It must be answered with status 408,
// and other callers must not have to wait for it.
TEST_CASE("11 bad input: slow senders") {
    cluster system(small_cluster());
    const auto answer = exchange_raw(
        system.entry(0).callers, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le", raw_limit);
    CHECK(answer.substr(0, 12) == "HTTP/1.1 408");
    check_still_serves(system, "a slow sender");
}

// A caller doesn't read its long answer. The answers of other callers must not be delayed by it.
TEST_CASE("11 bad input: a caller that doesn't read") {
    cluster system(small_cluster());
    fault_proxy holding_proxy(system.entry(0).callers, proxy_units::raw);
    holding_proxy.arm(direction::down, contains("200 OK"), fault::hold);
    const auto call = make_completion("sin leer", {.tokens = 300});
    pending_call unread(holding_proxy.address(), call);
    holding_proxy.wait_for_fault();
    check_still_serves(system, "a caller that doesn't read");
    holding_proxy.release();
    check_complete_answer(unread.wait(), call, 300);
}
