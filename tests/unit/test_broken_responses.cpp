// Tests which bytes response_reader takes for a response, by the grammar of HTTP/1.1 (RFC 9110 and 9112), and
// which it refuses. Everything that a gateway, an entry or a sidecar reads as an answer goes through it.
#include "http/response_reader.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>
#include <numeric>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace borageford::http;
using namespace std::string_literals;

namespace {

/// What a reader has made of the bytes on a connection.
struct reading {
    unsigned status = 0;
    std::string body;
    std::vector<std::string> names; ///< of the fields
};

/// Reads a response in pieces of `piece` bytes, after which the connection ends in order. Nothing: it is no
/// response, or not a whole one.
std::optional<reading> read_in_pieces(std::string_view bytes, std::size_t piece) {
    response_reader reader(response_reader::body_rule::expected);
    reading result;
    std::string held;
    try {
        for (std::size_t at = 0; at < bytes.size() && !reader.is_complete(); at += piece) {
            held.append(bytes.substr(at, piece));
            held.erase(0, reader.read(held, result.body));
        }
        if (!reader.is_complete()) {
            reader.read_end();
        }
    } catch (const response_error&) {
        return std::nullopt;
    }
    result.status = reader.status();
    for (std::size_t index = 0; index < reader.fields().size(); ++index) {
        result.names.emplace_back(reader.fields().at(index).name);
    }
    return result;
}

/// Reads a response in pieces of several sizes, which must make no difference.
std::optional<reading> read(std::string_view bytes) {
    auto whole = read_in_pieces(bytes, std::max<std::size_t>(bytes.size(), 1));
    for (const std::size_t piece : {1, 2, 7}) {
        const auto divided = read_in_pieces(bytes, piece);
        CHECK(divided.has_value() == whole.has_value());
        if (divided.has_value() && whole.has_value()) {
            CHECK(divided->body == whole->body);
            CHECK(divided->names == whole->names);
        }
    }
    return whole;
}

bool is_response(std::string_view bytes) {
    return read(bytes).has_value();
}

std::string with_status_line(const std::string& line) {
    return line + "\r\nContent-Length: 2\r\n\r\nok";
}

std::string with_status(const std::string& status) {
    return with_status_line("HTTP/1.1 " + status + " Reason");
}

std::string with_fields(const std::string& fields, const std::string& body) {
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

std::string with_field(const std::string& field) {
    return with_fields(field + "\r\nContent-Length: 2\r\n", "ok");
}

std::string with_trailer(const std::string& trailer) {
    return with_fields("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n" + trailer + "\r\n");
}

constexpr std::string_view token_marks = "!#$%&'*+-.^_`|~";

bool is_token_byte(unsigned char byte) {
    const bool is_letter_or_digit =
        (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
    return is_letter_or_digit || token_marks.find(static_cast<char>(byte)) != std::string_view::npos;
}

bool is_value_byte(unsigned char byte) {
    constexpr unsigned char last_control = 0x1f;
    constexpr unsigned char delete_control = 0x7f;
    return byte == '\t' || (byte > last_control && byte != delete_control);
}

/// All values of a byte.
std::vector<char> all_bytes() {
    constexpr int count = 256;
    std::vector<char> result(count);
    std::iota(result.begin(), result.end(), '\0');
    return result;
}

} // namespace

TEST_CASE("a status outside 100 to 599 is no response", "[http][broken]") {
    for (const auto* status : {"000", "001", "042", "099", "600", "601", "777", "999"}) {
        CAPTURE(status);
        CHECK_FALSE(is_response(with_status(status)));
    }
    for (const auto* status : {"200", "201", "299", "300", "404", "500", "599"}) {
        CAPTURE(status);
        const auto response = read(with_status(status));
        REQUIRE(response.has_value());
        CHECK(std::to_string(response->status) == status);
    }
}

TEST_CASE("a status line that doesn't fit the grammar is no response", "[http][broken]") {
    for (const auto& line : {""s,
                             " "s,
                             "200 OK"s,
                             "HTTP/1.1"s,
                             "HTTP/1.1 "s,
                             "HTTP/1.1 20 OK"s,
                             "HTTP/1.1 2000 OK"s,
                             "HTTP/1.1 2x0 OK"s,
                             "HTTP/1.1 -20 OK"s,
                             "HTTP/1.1 +20 OK"s,
                             "HTTP/1.1  200 OK"s,
                             "HTTP/1.1\t200 OK"s,
                             "HTTP/1.1 200\tOK"s,
                             "HTTP/2.0 200 OK"s,
                             "HTTP/0.9 200 OK"s,
                             "HTTP/1.2 200 OK"s,
                             "HTTP/11 200 OK"s,
                             "HTTP/1.1x 200 OK"s,
                             "http/1.1 200 OK"s,
                             "ICY 200 OK"s,
                             " HTTP/1.1 200 OK"s,
                             "\r\nHTTP/1.1 200 OK"s,
                             "HTTP/1.1 200 O\0K"s,
                             "HTTP/1.1 200 O\x7fK"s,
                             "HTTP/1.1 200 O\rK"s,
                             "HTTP/1.1 200 O\nK"s,
                             "\0HTTP/1.1 200 OK"s}) {
        CAPTURE(line);
        CHECK_FALSE(is_response(with_status_line(line)));
    }
    for (const auto& line : {"HTTP/1.1 200 "s, "HTTP/1.1 200 Not at all\t\xe4"s, "HTTP/1.0 200 OK"s}) {
        CAPTURE(line);
        CHECK(is_response(with_status_line(line)));
    }
}

TEST_CASE("interim responses are passed over", "[http][broken]") {
    const auto last = with_status("200");
    const auto response = read(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 X\r\n\r\n" +
        last);
    REQUIRE(response.has_value());
    CHECK(response->status == 200);
    CHECK(response->body == "ok");
    CHECK(response->names == std::vector{"Content-Length"s});
    CHECK_FALSE(is_response("HTTP/1.1 100 Continue\r\n\r\n"));
    CHECK_FALSE(is_response("HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok" + last));
    // Nobody asks for another protocol, so what follows belongs to none that is known here.
    CHECK_FALSE(is_response("HTTP/1.1 101 Switching Protocols\r\n\r\n" + last));
}

TEST_CASE("the name of a field consists of the bytes of a token", "[http][broken]") {
    for (const char byte : all_bytes()) {
        const std::string inserted(1, byte);
        const bool is_token = is_token_byte(static_cast<unsigned char>(byte));
        for (const auto& name : {"X" + inserted + "Y", inserted + "Y", "X" + inserted}) {
            if (byte == ':' && !name.starts_with(':')) {
                continue; // the name ends there
            }
            CAPTURE(name);
            CHECK(is_response(with_field(name + ": v")) == is_token);
            CHECK(is_response(with_trailer(name + ": v\r\n")) == is_token);
        }
    }
    for (const auto* field : {": v", "X", "X\r\nY: v", " X: v", "\tX: v", "Content-Length : 2"}) {
        CAPTURE(field);
        CHECK_FALSE(is_response(with_field(field)));
    }
}

TEST_CASE("the value of a field holds no control bytes", "[http][broken]") {
    for (const char byte : all_bytes()) {
        const std::string inserted(1, byte);
        CAPTURE(inserted);
        const bool is_value = is_value_byte(static_cast<unsigned char>(byte));
        CHECK(is_response(with_field("X: a" + inserted + "b")) == is_value);
        CHECK(is_response(with_field("X: " + inserted)) == is_value);
        CHECK(is_response(with_trailer("X: a" + inserted + "b\r\n")) == is_value);
    }
}

TEST_CASE("lines end with a carriage return and a line feed", "[http][broken]") {
    CHECK_FALSE(is_response("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"));
    CHECK_FALSE(is_response("HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok"));
    CHECK_FALSE(is_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok"));
    CHECK_FALSE(is_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rok"));
    CHECK_FALSE(is_response(with_fields("Transfer-Encoding: chunked\r\n", "2\nok\n0\n\n")));
}

TEST_CASE("a response that ends in its head is none", "[http][broken]") {
    const auto response = "HTTP/1.1 200 OK\r\nX: a\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\n"s;
    for (std::size_t size = 0; size < response.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(is_response(response.substr(0, size)));
    }
}

TEST_CASE("a response that ends before its length or its last chunk is none", "[http][broken]") {
    const auto with_length = with_fields("Content-Length: 4\r\n", "");
    for (const auto* part : {"", "a", "abc"}) {
        CHECK_FALSE(is_response(with_length + part));
    }
    const auto chunks = "4\r\nabcd\r\n3;x=\"y\"\r\nefg\r\n0\r\nX: a\r\n\r\n"s;
    for (std::size_t size = 0; size < chunks.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(is_response(with_fields("Transfer-Encoding: chunked\r\n", chunks.substr(0, size))));
    }
    CHECK(read(with_fields("Transfer-Encoding: chunked\r\n", chunks))->body == "abcdefg");
}

TEST_CASE("a length that can't be told is no framing", "[http][broken]") {
    for (const auto* value : {"", " ", "x", "-1", "+2", "2.0", "0x2", "2 2", "2;", "2,", ",2", "2, 3", "2,,2",
                              "18446744073709551616", "99999999999999999999999", "\"2\""}) {
        CAPTURE(value);
        CHECK_FALSE(is_response(with_fields("Content-Length: "s + value + "\r\n", "ok")));
    }
    CHECK_FALSE(is_response(with_fields("Content-Length: 2\r\nContent-Length: 1\r\n", "ok")));
    for (const auto* fields :
         {"Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2, 2\r\n",
          "content-length:2\r\n", "Content-Length: 02\r\n"}) {
        CAPTURE(fields);
        REQUIRE(is_response(with_fields(fields, "ok")));
    }
}

TEST_CASE("a transfer coding that can't be removed is no framing", "[http][broken]") {
    const auto chunks = "2\r\nok\r\n0\r\n\r\n"s;
    for (const auto* value :
         {"", "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked, identity",
          "chunked;q=1", "xchunked", "chunkedx", "chunk ed", "\"chunked\"", "trailers", ", chunked"}) {
        const auto field = "Transfer-Encoding: "s + value + "\r\n";
        CAPTURE(value);
        CHECK_FALSE(is_response(with_fields(field, chunks)));
        CHECK_FALSE(is_response(with_fields(field + "Content-Length: 2\r\n", "ok")));
        CHECK_FALSE(is_response(with_fields("Content-Length: 2\r\n" + field, "ok")));
    }
    const auto chunked = "Transfer-Encoding: chunked\r\n"s;
    CHECK_FALSE(is_response(with_fields(chunked + chunked, chunks)));
    CHECK_FALSE(is_response(with_fields("Transfer-Encoding: gzip\r\n" + chunked, chunks)));
    CHECK_FALSE(is_response(with_fields(chunked + "Transfer-Encoding: gzip\r\n", chunks)));
    CHECK_FALSE(is_response(with_fields(chunked + "Content-Length: 2\r\n", chunks)));
    CHECK_FALSE(is_response(with_fields("Content-Length: 2\r\n" + chunked, chunks)));
    CHECK_FALSE(is_response("HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + chunks));
    CHECK(read(with_fields("transfer-encoding:  Chunked \r\n", chunks))->body == "ok");
}

TEST_CASE("a chunk has a length in hexadecimal digits and ends after it", "[http][broken]") {
    for (const auto* chunks :
         {"\r\n", "x\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n",
          " 2\r\nok\r\n0\r\n\r\n", "2 \r\nok\r\n0\r\n\r\n", "1\r\nok\r\n0\r\n\r\n", "3\r\nok\r\n0\r\n\r\n",
          "2\r\nok0\r\n\r\n", "2;x=\"\x01\"\r\nok\r\n0\r\n\r\n", "2;x=\"\x7f\"\r\nok\r\n0\r\n\r\n",
          "2;\r\nok\r\n0\r\n\r\n", "2;=\r\nok\r\n0\r\n\r\n", "10000000000000000\r\nok\r\n0\r\n\r\n",
          "ffffffffffffffff1\r\nok\r\n0\r\n\r\n"}) {
        CAPTURE(chunks);
        CHECK_FALSE(is_response(with_fields("Transfer-Encoding: chunked\r\n", chunks)));
    }
    CHECK(read(with_fields("Transfer-Encoding: chunked\r\n", "0002;a;b=\"c\"\r\nok\r\n00\r\n\r\n"))->body ==
          "ok");
}

TEST_CASE("fields after the last chunk are no fields of the head", "[http][broken]") {
    const auto response = read(with_trailer("Not-Executed: 1\r\nRequest-Id: b\r\nConnection: close\r\n"));
    REQUIRE(response.has_value());
    CHECK(response->body == "ok");
    CHECK(response->names == std::vector{"Transfer-Encoding"s});
}

TEST_CASE("responses without a body end with their heads", "[http][broken]") {
    for (const auto* status : {"204", "304"}) {
        const auto response = read("HTTP/1.1 "s + status + " X\r\nContent-Length: 5\r\n\r\n");
        REQUIRE(response.has_value());
        CHECK(response->body.empty());
    }
}
