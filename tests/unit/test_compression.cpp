// Tests the compression of text and base64, also with damaged and malicious input.
#include "base/compression.hpp"

#include <catch2/catch.hpp>

using namespace borageford;

namespace {

constexpr std::size_t large_limit = 1U << 20U;

std::string repeated_lines() {
    std::string text;
    for (int line = 0; line < 2000; ++line) {
        text += "[backend_server pluma-" + std::to_string(line) + "]\nkind = engine\n";
    }
    return text;
}

} // namespace

TEST_CASE("text is unchanged after compression and base64 in both directions", "[compression]") {
    for (const auto& text : {std::string(), std::string("a"), std::string("ab"), repeated_lines()}) {
        const auto packed = deflate_text(text);
        CHECK(inflate_text(decode_base64(encode_base64(packed)), large_limit) == text);
    }
    CHECK(deflate_text(repeated_lines()).size() * 5 < repeated_lines().size());
}

TEST_CASE("damaged deflated text is refused", "[compression]") {
    // A stored row or a frame was truncated or changed in transit. A part of a configuration must not be
    // used, because it would lack some of the workspaces.
    const auto packed = deflate_text(repeated_lines());
    for (const std::size_t length : {std::size_t{0}, std::size_t{1}, packed.size() / 2, packed.size() - 1}) {
        CHECK_THROWS_AS(inflate_text(std::span(packed).first(length), large_limit), compression_error);
    }
    CHECK_THROWS_AS(decode_base64("abc"), compression_error);
    CHECK_THROWS_AS(decode_base64("????"), compression_error);
}

TEST_CASE("deflated text that is larger than the limit when inflated is refused", "[compression]") {
    // A few kilobytes can inflate to gigabytes. Without a limit, the kernel would kill the process for its
    // memory use.
    const auto packed = deflate_text(std::string(50U << 20U, 'x'));
    REQUIRE(packed.size() < large_limit);
    CHECK_THROWS_AS(inflate_text(packed, large_limit), compression_error);
}
