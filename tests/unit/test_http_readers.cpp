// Tests the incremental parsers for requests, responses and server-sent events with input split into pieces.
#include "base/request_error.hpp"
#include "gateway/event_relay.hpp"
#include "http/event_splitter.hpp"
#include "http/request_reader.hpp"
#include "http/response_reader.hpp"

#include <catch2/catch.hpp>

using namespace borageford;
using namespace borageford::http;

namespace {

constexpr std::string_view post_request =
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Name:  v  \r\nContent-Length: 5\r\n\r\nhello";

/// Passes the bytes to the reader in pieces of `piece` bytes. Returns how many bytes the reader consumed.
std::size_t feed(request_reader& reader, std::string_view bytes, std::size_t piece) {
    std::string held;
    std::size_t used = 0;
    for (std::size_t at = 0; at < bytes.size() && !reader.is_complete(); at += piece) {
        held.append(bytes.substr(at, piece));
        const auto consumed = reader.read(held);
        held.erase(0, consumed);
        used += consumed;
    }
    return used;
}

/// Parses a response in pieces of `piece` bytes and returns its body. `ends` tells the reader that the server
/// has closed the connection. If the response is incomplete, the result begins with "incomplete: ".
std::string read_response(std::string_view bytes, std::size_t piece, bool ends) {
    response_reader reader(response_reader::body_rule::expected);
    std::string body;
    std::string held;
    for (std::size_t at = 0; at < bytes.size() && !reader.is_complete(); at += piece) {
        held.append(bytes.substr(at, piece));
        held.erase(0, reader.read(held, body));
    }
    if (ends) {
        reader.read_end();
    }
    return reader.is_complete() ? body : "incomplete: " + body;
}

} // namespace

TEST_CASE("a connection closed before any byte of the response throws response_error",
          "[http][response_reader]") {
    // A server closes an idle connection just as a request is sent on it. Beast's parser must not be told of
    // the end before it has received any bytes: it has an assertion against that, which would abort the
    // process.
    response_reader reader(response_reader::body_rule::expected);
    CHECK_THROWS_AS(reader.read_end(), response_error);
}

TEST_CASE("a request is parsed the same however it is divided into pieces", "[http][request_reader]") {
    for (const std::size_t piece : {std::size_t(1), std::size_t(3), std::size_t(7), post_request.size()}) {
        request_reader reader({});
        CHECK(feed(reader, post_request, piece) == post_request.size());
        REQUIRE(reader.is_complete());
        const auto& message = reader.message();
        CHECK(message.method == "POST");
        CHECK(message.target == "/a/b?c");
        CHECK(message.fields.find("x-name") == "v");
        CHECK(message.body == "hello");
        CHECK(message.keeps_connection);
    }
}

TEST_CASE("a request reader doesn't consume bytes of the next request", "[http][request_reader]") {
    request_reader reader({});
    const auto two_requests = std::string(post_request) + "GET / HTTP/1.1\r\n";
    CHECK(reader.read(two_requests) == post_request.size());
    CHECK(reader.is_complete());
}

TEST_CASE("a request head over the limit is refused before its end arrives", "[http][request_reader]") {
    request_reader reader({.header_bytes = 100});
    try {
        static_cast<void>(reader.read("GET / HTTP/1.1\r\nX: " + std::string(200, 'x')));
        FAIL("not refused");
    } catch (const request_error& error) {
        CHECK(error.kind() == error_kind::headers_too_large);
    }
}

TEST_CASE("the framing of a body is refused when it has no end", "[http][request_reader]") {
    const std::string framing = GENERATE("5;", "5\r\nhello\r\n0\r\nA: ");
    request_reader reader({.header_bytes = 1000});
    std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + framing;
    bytes.erase(0, reader.read(bytes));
    bytes += std::string(900, 'x');
    bytes.erase(0, reader.read(bytes));
    CHECK_FALSE(reader.is_complete());
    bytes += std::string(200, 'x');
    CHECK_THROWS_AS(reader.read(bytes), request_error);
}

TEST_CASE("a body takes memory as it arrives, and no more than announced", "[http][request_reader]") {
    constexpr std::size_t announced = 1'000'000;
    request_reader reader({});
    static_cast<void>(reader.read("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nb"));
    CHECK(reader.held_bytes() < 200);
    for (std::size_t sent = 1; sent < announced; sent += 9'999) {
        static_cast<void>(reader.read(std::string(std::min<std::size_t>(9'999, announced - sent), 'b')));
    }
    CHECK(reader.is_complete());
    CHECK(reader.held_bytes() < announced + 200);
}

TEST_CASE("responses are read with a length, in chunks and until the connection ends",
          "[http][response_reader]") {
    for (const std::size_t piece : {std::size_t(1), std::size_t(5), std::size_t(1000)}) {
        CHECK(read_response("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", piece, false) == "abc");
        CHECK(read_response(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
                  piece, false) == "abc");
        CHECK(read_response("HTTP/1.1 200 OK\r\n\r\nabc", piece, true) == "abc");
    }
}

TEST_CASE("a response that ends early is an error and never counts as complete", "[http][response_reader]") {
    CHECK_THROWS_AS(read_response("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 4, true),
                    response_error);
    CHECK_THROWS_AS(read_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", 4, true),
                    response_error);
    CHECK_THROWS_AS(read_response("rubbish\r\n\r\n", 4, false), response_error);
}

TEST_CASE("the idle time of a connection is read from the Keep-Alive header", "[http][response_reader]") {
    field_list fields;
    CHECK_FALSE(idle_time(fields).has_value());
    fields.add("Keep-Alive", "max=5, timeout=7");
    CHECK(idle_time(fields) == std::chrono::seconds(7));
}

TEST_CASE("the event splitter returns only complete events", "[http][event_splitter]") {
    event_splitter splitter;
    CHECK(splitter.add("id: 1\nda").empty());
    CHECK(splitter.has_partial_event());
    CHECK(splitter.add("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
    CHECK(splitter.last_id() == "1");
    CHECK(splitter.add("data: y\r\n\r\n") == "id: 2\ndata: y\r\n\r\n");
    CHECK_FALSE(splitter.has_partial_event());
    CHECK(splitter.count() == 2);
}

TEST_CASE("a broken stream is continued only with the event that follows", "[gateway][event_relay]") {
    gateway::event_relay relay;
    CHECK(relay.add("id: 1\n\nid: 2\n\nid: 3\nda") == "id: 1\n\nid: 2\n\n");
    CHECK_FALSE(relay.is_complete());
    relay.handle_broken_connection();
    CHECK(relay.last_id() == "2");
    CHECK(relay.add("id: 3\n\n") == "id: 3\n\n");
    CHECK(relay.is_complete());
    relay.handle_broken_connection();
    CHECK_THROWS_AS(relay.add("id: 5\n\n"), response_error);
    gateway::event_relay repeated;
    static_cast<void>(repeated.add("id: 1\n\n"));
    repeated.handle_broken_connection();
    CHECK_THROWS_AS(repeated.add("id: 1\n\n"), response_error);
}
