// The cache of prompt prefixes of fake_engine. It evicts the least recently used blocks first, and publishes
// its events late and with gaps.
#pragma once

#include "fakes/engine_request.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <span>
#include <string>
#include <unordered_map>

namespace borageford::test {

/// Invariant: the cached blocks have at most `capacity_tokens` tokens together.
class prefix_cache {
public:
    using clock = std::chrono::steady_clock;

    explicit prefix_cache(std::uint64_t capacity_tokens) : m_capacity(capacity_tokens) {}

    /// Returns the number of tokens in the prompt's longest cached prefix, and marks its blocks as used.
    [[nodiscard]] std::uint32_t find_prefix(std::span<const prompt_block> blocks);

    /// Records that the prompt's tokens from `from_token` on were computed, and caches the complete blocks
    /// among them. Returns how many of these tokens this engine had computed before.
    std::uint32_t store(std::span<const prompt_block> blocks, std::uint32_t from_token);

    /// A page of the events that come after this sequence number and are older than the lag, as the JSON that
    /// GET /cache_events answers.
    [[nodiscard]] std::string events_after(std::uint64_t sequence, std::chrono::milliseconds lag) const;

    /// Every block that this engine ever computed, as JSON: `{"HASH": [times, tokens]}`.
    [[nodiscard]] std::string describe_prefilled() const;

    [[nodiscard]] std::uint64_t cached_tokens() const noexcept { return m_tokens; }

private:
    struct cached_block {
        std::uint64_t hash;
        std::uint32_t tokens;
    };
    struct prefill_count {
        std::uint32_t times = 0;
        std::uint32_t tokens = 0;
    };
    struct event {
        std::uint64_t sequence = 0;
        clock::time_point time;
        bool is_stored = true;
        std::uint64_t hash = 0;
    };

    void put(const prompt_block& block);
    void publish(bool is_stored, std::uint64_t hash);

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::list<cached_block> m_recent; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<cached_block>::iterator> m_blocks;
    std::unordered_map<std::uint64_t, prefill_count> m_prefilled;
    std::deque<event> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace borageford::test
