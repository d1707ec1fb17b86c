// Tests of prefix_index: which servers count as holding a prefix, after started requests and after cache
// events that arrive late or are lost.
#include "policy/prefix_index.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace borageford::policy;
using namespace std::chrono_literals;

namespace {

const time_point start_time = time_point{} + 1h;
constexpr std::uint64_t server_a = 11;
constexpr std::uint64_t server_b = 22;

/// Block hashes of a prompt that consists of a preamble, a chapter and a task, each filling complete blocks.
std::vector<std::uint64_t> hash_prompt(char preamble, int chapter, char task) {
    std::string text(2 * prefix_block_bytes, preamble);
    std::string chapter_text = "chapter " + std::to_string(chapter);
    chapter_text.resize(3 * prefix_block_bytes, '.');
    return hash_prefix_blocks(text + chapter_text + std::string(prefix_block_bytes, task));
}

} // namespace

TEST_CASE("block hashes are chained and omit an incomplete last block", "[policy][prefix_index]") {
    const std::string text(3 * prefix_block_bytes + 10, 'x');
    const auto hashes = hash_prefix_blocks(text);
    REQUIRE(hashes.size() == 3);
    CHECK(hashes[0] != hashes[1]);
    CHECK(hash_prefix_blocks(text, 2).size() == 2);
    CHECK(hash_prefix_blocks("short").empty());
}

TEST_CASE("a server that ran a prompt counts as holding the prefix that another prompt shares with it",
          "[policy][prefix_index]") {
    prefix_index index;
    index.record_start(hash_prompt('p', 1, 's'), server_a, start_time);
    const auto holders = index.find_holders(hash_prompt('p', 1, 't'), start_time);
    REQUIRE(holders.size() == 1);
    CHECK(holders.front().server == server_a);
    CHECK(holders.front().tokens == 5 * prefix_block_tokens);
    CHECK(index.find_holders(hash_prompt('q', 1, 's'), start_time).empty());
}

TEST_CASE("an evicted block ends the cached prefix, also in its middle", "[policy][prefix_index]") {
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

TEST_CASE("a sidecar's report about a prompt replaces earlier entries", "[policy][prefix_index]") {
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

TEST_CASE("entries expire sooner after a gap in the cache events", "[policy][prefix_index]") {
    // The engine evicted a prefix and the event was lost. If the entry kept its full lifetime, prompts would
    // be sent to this server for minutes and be prefilled again there.
    prefix_index index;
    const auto hashes = hash_prompt('p', 1, 's');
    index.record_start(hashes, server_a, start_time);
    CHECK(index.find_holders(hashes, start_time + 90s).size() == 1);
    index.record_gap(server_a, start_time + 10s);
    CHECK(index.find_holders(hashes, start_time + 90s).empty());
    index.record_stored(hashes, server_a, start_time + 20s);
    CHECK(index.find_holders(hashes, start_time + 90s).size() == 1);
}

TEST_CASE("a restarted engine counts as having an empty cache", "[policy][prefix_index]") {
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

TEST_CASE("homes are identified by the first block after a shared preamble", "[policy][prefix_index]") {
    // All requests of a workspace begin with the same instructions. If these identified the homes, one pair
    // of backend servers would receive all requests of the workspace.
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

TEST_CASE("entry processes with a new index choose the same homes as others", "[policy][prefix_index]") {
    const prefix_index fresh;
    prefix_index used;
    for (int chapter = 0; chapter < 30; ++chapter) {
        used.record_start(hash_prompt('p', chapter, 's'), server_a, start_time);
    }
    for (const char task : {'s', 't', 'b'}) {
        CHECK(fresh.home_key(hash_prompt('p', 7, task)) == used.home_key(hash_prompt('p', 7, 's')));
    }
}
