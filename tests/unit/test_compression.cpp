// Deflated text: what is packed is unpacked, and damaged or hostile bytes are refused.
#include "base/compression.hpp"

#include <catch2/catch.hpp>

using namespace borageford;

namespace {

constexpr std::size_t generous = 1U << 20U;

std::string repeated_lines() {
    std::string text;
    for (int line = 0; line < 2000; ++line) {
        text += "[backend_server pluma-" + std::to_string(line) + "]\nkind = engine\n";
    }
    return text;
}

} // namespace

TEST_CASE("text survives deflating and base64", "[compression]") {
    for (const auto& text : {std::string(), std::string("a"), std::string("ab"), repeated_lines()}) {
        const auto packed = deflate_text(text);
        CHECK(inflate_text(decode_base64(encode_base64(packed)), generous) == text);
    }
    CHECK(deflate_text(repeated_lines()).size() * 5 < repeated_lines().size());
}

TEST_CASE("damaged deflated text is refused", "[compression]") {
    // A row or a frame was cut or changed on its way. Half a configuration would serve half the workspaces.
    const auto packed = deflate_text(repeated_lines());
    for (const std::size_t length : {std::size_t{0}, std::size_t{1}, packed.size() / 2, packed.size() - 1}) {
        CHECK_THROWS_AS(inflate_text(std::span(packed).first(length), generous), compression_error);
    }
    CHECK_THROWS_AS(decode_base64("abc"), compression_error);
    CHECK_THROWS_AS(decode_base64("????"), compression_error);
}

TEST_CASE("deflated text that grows past the limit is refused", "[compression]") {
    // A few kilobytes can stand for gigabytes. The process would be killed for its memory.
    const auto packed = deflate_text(std::string(50U << 20U, 'x'));
    REQUIRE(packed.size() < generous);
    CHECK_THROWS_AS(inflate_text(packed, generous), compression_error);
}
