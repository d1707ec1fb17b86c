// Tests the encoding and decoding of the frames between borageford's processes.
#include "wire/message.hpp"

#include <catch2/catch.hpp>

using namespace borageford;

TEST_CASE("decoding an encoded message gives the same message", "[wire]") {
    wire::grant_message grant;
    grant.dispatch = wire::to_wire(identifier{1, 2});
    grant.lease_ms = 250;
    const auto bytes = wire::encode(7, std::move(grant));
    const auto length = wire::decode_length(std::span(bytes).first<wire::frame_header_size>());
    REQUIRE(length == bytes.size() - wire::frame_header_size);
    const auto decoded = wire::decode(std::span(bytes).subspan(wire::frame_header_size));
    REQUIRE(decoded.revision == 7);
    const auto& content = std::get<wire::grant_message>(decoded.content);
    CHECK(wire::from_wire(content.dispatch) == identifier{1, 2});
    CHECK(content.lease_ms == 250);
}

TEST_CASE("a truncated or corrupted frame is refused", "[wire]") {
    // A faulty peer or network device damages a frame. No part of the frame may be used, because a caller
    // could otherwise receive bytes of another caller's answer.
    wire::chunk_message chunk;
    chunk.data.assign(100, 'x');
    const auto bytes = wire::encode(1, std::move(chunk));
    const auto frame = std::span(bytes).subspan(wire::frame_header_size);
    for (std::size_t length = 0; length < frame.size(); ++length) {
        CHECK_THROWS_AS(wire::decode(frame.first(length)), wire::frame_error);
    }
}
