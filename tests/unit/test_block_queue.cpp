// Tests the queue of output bytes.
#include "net/block_queue.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <string>

using borageford::net::block_queue;

TEST_CASE("a block queue returns the bytes in order, however they are appended and consumed", "[net]") {
    block_queue queue;
    std::string expected;
    std::mt19937 random(1);
    const auto draw = [&random](std::size_t most) {
        return std::uniform_int_distribution<std::size_t>(0, most)(random);
    };
    for (int round = 0; round < 2000; ++round) {
        std::string added(draw(3 * block_queue::block_size), static_cast<char>('a' + round % 26));
        queue.append(added);
        expected += added;
        std::array<std::string_view, 3> pieces;
        const auto count = queue.front(pieces);
        std::string front;
        for (std::size_t index = 0; index < count; ++index) {
            front += pieces.at(index);
        }
        REQUIRE(expected.starts_with(front));
        REQUIRE((front.size() == expected.size() || count == pieces.size()));
        const auto consumed = std::min(draw(4 * block_queue::block_size), expected.size());
        queue.consume(consumed);
        expected.erase(0, consumed);
        REQUIRE(queue.size() == expected.size());
    }
}
