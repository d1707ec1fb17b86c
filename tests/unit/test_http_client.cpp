// Tests of the HTTP client, against a server whose answers the test writes.
#include "http/client.hpp"
#include "support/run_until.hpp"
#include "support/scripted_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <optional>
#include <string>
#include <vector>

using namespace borageford;
using test::scripted_end;
using test::scripted_server;

namespace {

/// What a server sends at most before a test is given up.
constexpr std::size_t far_too_many = std::size_t(1) << 30U;
constexpr int small_buffer = 16 * 1024;
/// The kernel takes it at once, and the server's small buffer doesn't.
constexpr std::size_t upload_size = 1'000'000;

/// What became of an exchange.
struct outcome {
    std::string body;
    std::optional<http::exchange_stage> failed_at;
};

outcome fetch(boost::asio::io_context& context, const scripted_server& server,
              const http::exchange_limits& limits = {}, const http::request& call = {}) {
    const auto address = server.address();
    outcome result;
    bool is_over = false;
    const auto handle_end = [&](const std::exception_ptr& thrown, const http::response& answer) {
        is_over = true;
        result.body = answer.body;
        try {
            if (thrown != nullptr) {
                std::rethrow_exception(thrown);
            }
        } catch (const http::exchange_error& error) {
            result.failed_at = error.stage();
        }
    };
    boost::asio::co_spawn(context, http::fetch(context.get_executor(), address, call, limits), handle_end);
    test::run_until(context, [&] { return is_over || server.endless_bytes() > far_too_many; });
    return result;
}

} // namespace

TEST_CASE("a second answer isn't read by the next exchange of the HTTP client", "[http][client]") {
    boost::asio::io_context context;
    scripted_server server(context);
    server.add(
        {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1"});
    server.add({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2"});
    CHECK(fetch(context, server).body == "1");
    CHECK(fetch(context, server).body == "2");
    CHECK(server.arrivals() == std::vector<std::size_t>{0, 1});
}

TEST_CASE("bytes without end end an exchange of the HTTP client", "[http][client]") {
    using test::scripted_answer;
    const std::string padding(4000, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto answer = GENERATE_COPY(values<scripted_answer>({
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},                  // interim answers
        {head, "X-Padding: " + padding + "\r\n"},                 // fields
        {head + "X-Padding: ", padding},                          // one field
        {head + "\r\n", padding},                                 // a body without a length
        {head + "Content-Length: 999999999999\r\n\r\n", padding}, // with a length
        {chunked, "1\r\nx\r\n"},                                  // in chunks
        {chunked + "1;", padding},                                // an extension of a chunk
        {chunked + "0\r\nX: ", padding},                          // a field after the last chunk
    }));
    CAPTURE(answer.bytes, answer.endless.substr(0, 30));
    boost::asio::io_context context;
    scripted_server server(context);
    server.add(answer);
    http::exchange_limits limits;
    limits.body_limit = 1024U * 1024;
    CHECK(fetch(context, server, limits).failed_at.has_value());
    test::run_until(context, [&] { return server.open_connections() == 0; });
}

TEST_CASE("a body whose pieces go on arriving ends when its time is over", "[http][client]") {
    boost::asio::io_context context;
    scripted_server server(context);
    server.add({"HTTP/1.1 200 OK\r\n\r\n", "x"});
    http::exchange_limits limits;
    limits.body = std::chrono::milliseconds(20);
    limits.body_limit = std::size_t(1) << 40U;
    CHECK(fetch(context, server, limits).failed_at == http::exchange_stage::reading);
    test::run_until(context, [&] { return server.open_connections() == 0; });
}

TEST_CASE("the part of a body without a length isn't taken for the whole when the upload is broken off",
          "[http][client]") {
    // The kernel has taken the whole upload when the server, which has answered at once, resets it.
    const auto end = GENERATE(scripted_end::reset, scripted_end::shut_down_and_reset);
    boost::asio::io_context context;
    scripted_server server(context);
    server.set_receive_buffer(small_buffer);
    server.add({.bytes = "HTTP/1.1 200 OK\r\n\r\npart", .end = end, .read_before = 0});
    const http::request call{"POST", "/", {}, std::string(upload_size, 'u')};
    CHECK(fetch(context, server, {}, call).failed_at.has_value());
}

TEST_CASE("a body without a length is whole when its server still takes the rest of the upload",
          "[http][client]") {
    boost::asio::io_context context;
    scripted_server server(context);
    server.set_receive_buffer(small_buffer);
    server.add({.bytes = "HTTP/1.1 200 OK\r\n\r\nwhole", .end = scripted_end::shut_down, .read_before = 0});
    const http::request call{"POST", "/", {}, std::string(upload_size, 'u')};
    const auto result = fetch(context, server, {}, call);
    CHECK_FALSE(result.failed_at.has_value());
    CHECK(result.body == "whole");
    test::run_until(context, [&] { return server.body_bytes() == upload_size; });
}
