// What is believed of the engines' caches, from one's own starts and from late events with gaps.
#include "policy/prefix_index.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;
constexpr std::uint64_t server_a = 11;
constexpr std::uint64_t server_b = 22;

/// A prompt of a preamble, a chapter and a task, each filling whole blocks.
std::vector<std::uint64_t> hash_prompt(char preamble, int chapter, char task) {
    std::string text(2 * prefix_block_bytes, preamble);
    std::string chapter_text = "chapter " + std::to_string(chapter);
    chapter_text.resize(3 * prefix_block_bytes, '.');
    return hash_prefix_blocks(text + chapter_text + std::string(prefix_block_bytes, task));
}

} // namespace

TEST_CASE("block hashes are chained and leave out a last short block", "[policy][prefix_index]") {
    const std::string text(3 * prefix_block_bytes + 10, 'x');
    const auto hashes = hash_prefix_blocks(text);
    REQUIRE(hashes.size() == 3);
    CHECK(hashes[0] != hashes[1]);
    CHECK(hash_prefix_blocks(text, 2).size() == 2);
    CHECK(hash_prefix_blocks("short").empty());
}

TEST_CASE("a server that ran a prompt is believed to hold what another shares with it",
          "[policy][prefix_index]") {
    prefix_index index;
    index.record_start(hash_prompt('p', 1, 's'), server_a, start_time);
    const auto holders = index.find_holders(hash_prompt('p', 1, 't'), start_time);
    REQUIRE(holders.size() == 1);
    CHECK(holders.front().server == server_a);
    CHECK(holders.front().tokens == 5 * prefix_block_tokens);
    CHECK(index.find_holders(hash_prompt('q', 1, 's'), start_time).empty());
}

TEST_CASE("an eviction ends the belief, also in the middle of a prefix", "[policy][prefix_index]") {
    prefix_index index;
    const auto hashes = hash_prompt('p', 1, 's');
    index.record_start(hashes, server_a, start_time);
    index.record_start(hashes, server_b, start_time);
    index.record_evicted(std::span(hashes).subspan(2, 1), server_a);
    const auto holders = index.find_holders(hashes, start_time);
    REQUIRE(holders.size() == 2);
    CHECK(holders[0].server == server_b);
    CHECK(holders[1].tokens == 2 * prefix_block_tokens);
    index.record_stored(std::span(hashes).subspan(2, 1), server_a, start_time);
    CHECK(index.find_holders(hashes, start_time)[1].tokens == 6 * prefix_block_tokens);
}

TEST_CASE("what a sidecar says of a prompt replaces what was believed", "[policy][prefix_index]") {
    prefix_index index;
    const auto hashes = hash_prompt('p', 1, 's');
    index.record_start(hashes, server_a, start_time);
    index.record_cached(hashes, 2, server_a, start_time);
    CHECK(index.find_holders(hashes, start_time).front().tokens == 2 * prefix_block_tokens);
    index.record_cached(hashes, 0, server_a, start_time);
    CHECK(index.find_holders(hashes, start_time).empty());
    index.record_cached(hashes, 6, server_b, start_time);
    CHECK(index.find_holders(hashes, start_time).front().tokens == 6 * prefix_block_tokens);
}

TEST_CASE("after a gap in the events old beliefs fade sooner", "[policy][prefix_index]") {
    // The engine evicted a prefix and the event was lost. Without doubt the prompt would be sent to the
    // wrong home for minutes, to be prefilled again there.
    prefix_index index;
    const auto hashes = hash_prompt('p', 1, 's');
    index.record_start(hashes, server_a, start_time);
    CHECK(index.find_holders(hashes, start_time + 90s).size() == 1);
    index.record_gap(server_a, start_time + 10s);
    CHECK(index.find_holders(hashes, start_time + 90s).empty());
    index.record_stored(hashes, server_a, start_time + 20s);
    CHECK(index.find_holders(hashes, start_time + 90s).size() == 1);
}

TEST_CASE("a restarted engine is believed to hold nothing", "[policy][prefix_index]") {
    prefix_index index;
    const auto hashes = hash_prompt('p', 1, 's');
    index.record_start(hashes, server_a, start_time);
    index.forget_server(server_a, start_time + 1s);
    CHECK(index.find_holders(hashes, start_time + 1s).empty());
}

TEST_CASE("the index is bounded and forgets prompts from their end", "[policy][prefix_index]") {
    prefix_index index({.most_blocks = 10});
    const auto old = hash_prompt('p', 1, 's');
    index.record_start(old, server_a, start_time);
    index.record_start(hash_prompt('q', 2, 's'), server_a, start_time);
    CHECK(index.blocks() == 10);
    const auto holders = index.find_holders(old, start_time);
    REQUIRE(holders.size() == 1);
    CHECK(holders.front().tokens == 4 * prefix_block_tokens);
    const std::vector<std::uint64_t> longer(100, 1);
    index.record_start(longer, server_a, start_time);
    CHECK(index.blocks() <= 10);
}

TEST_CASE("homes are named by the first block after a shared preamble", "[policy][prefix_index]") {
    // All requests of a workspace begin with the same instructions. Were homes named by these, one pair of
    // backend servers would get all of its work.
    prefix_index index({.home_block = 1});
    for (int chapter = 0; chapter < 30; ++chapter) {
        index.record_start(hash_prompt('p', chapter, 's'), server_a, start_time);
    }
    const auto summary = hash_prompt('p', 100, 's');
    const auto tags = hash_prompt('p', 100, 't');
    const auto other = hash_prompt('p', 101, 's');
    REQUIRE(index.home_key(summary).has_value());
    CHECK(index.home_key(summary) == index.home_key(tags));
    CHECK(index.home_key(summary) != index.home_key(other));
    CHECK_FALSE(index.home_key({}).has_value());
}

TEST_CASE("entries that have learned nothing agree on homes", "[policy][prefix_index]") {
    const prefix_index fresh;
    prefix_index used;
    for (int chapter = 0; chapter < 30; ++chapter) {
        used.record_start(hash_prompt('p', chapter, 's'), server_a, start_time);
    }
    for (const char task : {'s', 't', 'b'}) {
        CHECK(fresh.home_key(hash_prompt('p', 7, task)) == used.home_key(hash_prompt('p', 7, 's')));
    }
}
