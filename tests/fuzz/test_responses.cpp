// Fuzz test of response_reader: damaged responses, which arrive in pieces, are refused or read as the grammar
// says. What is refused reaches no caller as an answer, and what is read is what the server sent.
#include "fuzz/mutator.hpp"
#include "fuzz/response_oracle.hpp"
#include "http/response_reader.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace borageford;

namespace {

constexpr std::uint64_t first_seed = 20261207;
constexpr int iterations = 60'000;

const std::string framed =
    "HTTP/1.1 200 OK\r\nRequest-Id: 9c41\r\nResponse-Signature: 3e1b.07\r\nContent-Length: 5\r\n\r\nwhole";
const std::string chunked =
    "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nwhole\r\n"
    "a;x=\"y z\" ; q\r\n0123456789\r\n0\r\nX: a\r\nNot-Executed: 1\r\n\r\n";
const std::string unframed =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string version_1_0 =
    "HTTP/1.0 200 OK\r\nContent-Length: 2, 2\r\nConnection: keep-alive, x\r\n\r\nok";
const std::string after_interim_ones =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
const std::string without_body = "HTTP/1.1 204 None\r\nContent-Length: 7\r\n\r\n";
const std::string folded =
    "HTTP/1.1 421 Wrong\r\nX: a\r\n b\r\n\t\r\n  c \r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n!";
const std::string broken =
    "HTTP/1.1 000 None\r\nTransfer-Encoding: gzip, chunked\r\nContent-Length : 3\r\nX Y: \x01\r\n\r\nabc";

const std::vector<std::string> responses{framed,       chunked, unframed, version_1_0, after_interim_ones,
                                         without_body, folded,  broken};

/// What response_reader makes of the bytes of a connection that ends in order after them.
std::optional<test::oracle_response> read_in_pieces(std::string_view bytes, test::mutator& random) {
    constexpr std::size_t longest_piece = 40;
    http::response_reader reader(http::response_reader::body_rule::expected);
    test::oracle_response result;
    std::string held;
    const bool is_whole = random.below(2) == 0;
    try {
        for (std::size_t at = 0; at < bytes.size() && !reader.is_complete();) {
            const auto piece = bytes.substr(at, is_whole ? bytes.size() : 1 + random.below(longest_piece));
            at += piece.size();
            held.append(piece);
            const auto used = reader.read(held, result.body);
            held.erase(0, used);
            result.size += used;
        }
        if (!reader.is_complete()) {
            reader.read_end();
        }
    } catch (const http::response_error&) {
        return std::nullopt;
    }
    result.status = reader.status();
    for (std::size_t index = 0; index < reader.fields().size(); ++index) {
        const auto field = reader.fields().at(index);
        result.fields.emplace_back(field.name, field.value);
    }
    return result;
}

} // namespace

TEST_CASE("damaged responses are refused or read as the grammar says", "[fuzz][response]") {
    test::mutator random(first_seed);
    int accepted = 0;
    for (int index = 0; index < iterations; ++index) {
        const auto bytes = random.mutate(responses);
        const auto expected = test::read_by_grammar(bytes);
        const auto read = read_in_pieces(bytes, random);
        if (expected.has_value() && expected->has_odd_connection && !read.has_value()) {
            continue;
        }
        CAPTURE(index, bytes);
        REQUIRE(read.has_value() == expected.has_value());
        if (read.has_value()) {
            REQUIRE(read->status == expected->status);
            REQUIRE(read->fields == expected->fields);
            REQUIRE(read->body == expected->body);
            REQUIRE(read->size == expected->size);
            ++accepted;
        }
    }
    CHECK(accepted > iterations / 20);
}
