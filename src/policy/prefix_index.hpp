// Index of the prompt prefixes that backend servers probably have cached. It also finds the block of a prompt
// that identifies its home servers.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// Size of a prompt block in bytes (docs/INTERFACES.md).
inline constexpr std::size_t prefix_block_bytes = 256;
/// Size of a prompt block in tokens.
inline constexpr std::uint32_t prefix_block_tokens = 64;

/// The chained hashes of a prompt's complete blocks: the hash of each block is the seed for the next one. At
/// most `most_blocks` hashes are computed, since later blocks hardly help to find a cached prefix.
[[nodiscard]] std::vector<std::uint64_t> hash_prefix_blocks(std::string_view prompt,
                                                            std::size_t most_blocks = 512);

/// Bounds and lifetimes of the index.
struct prefix_index_settings {
    /// Maximum number of blocks in the index.
    std::size_t most_blocks = 1U << 16U;
    /// Maximum number of servers recorded for each block.
    std::size_t max_holders = 4;
    /// A block that hasn't been confirmed for this long counts as evicted, since engines cache prefixes in
    /// limited memory.
    duration holder_lifetime = std::chrono::minutes(10);
    /// Lifetime used instead of `holder_lifetime` after a gap in the server's cache events, in which an
    /// eviction may have been lost.
    duration lifetime_after_gap = std::chrono::seconds(60);
    /// Index of the block that identifies the homes of a prompt. It is large enough to distinguish chapters
    /// that begin with the same instructions, and small enough for short prompts.
    std::size_t home_block = 3;
    /// A block that is followed by at least this many different blocks ends a preamble that many prompts
    /// share. The number is larger than the number of tasks that follow one chapter and smaller than the
    /// number of chapters of one workspace.
    std::uint32_t min_followers_of_preamble = 24;
};

/// A server that probably has the first blocks of a prompt cached.
struct prefix_holder {
    std::uint64_t server = 0; ///< hash of the server's name
    std::uint32_t tokens = 0; ///< contiguous cached tokens from the start of the prompt
};

/// Index from prompt blocks to the servers that have cached them. Its results are hints, since engines evict
/// blocks without reporting it at once.
///
/// Invariant: at most `most_blocks` blocks; the least recently used blocks are removed first.
class prefix_index {
public:
    explicit prefix_index(prefix_index_settings settings = {});

    /// Records that a request with this prompt was started at the server, which caches all of its blocks.
    void record_start(std::span<const std::uint64_t> hashes, std::uint64_t server, time_point now);

    /// Records that the server's engine has cached these blocks, which may be in any order. Blocks that
    /// aren't in the index are ignored.
    void record_stored(std::span<const std::uint64_t> hashes, std::uint64_t server, time_point now);
    /// Records that the server's engine has evicted these blocks, which may be in any order.
    void record_evicted(std::span<const std::uint64_t> hashes, std::uint64_t server);

    /// Records a report of the server's sidecar that exactly the first `blocks` blocks of the prompt are
    /// cached.
    void record_cached(std::span<const std::uint64_t> hashes, std::size_t blocks, std::uint64_t server,
                       time_point now);

    /// Records that cache events of the server were lost.
    void record_gap(std::uint64_t server, time_point now);

    /// Records that the server's engine was restarted, so that its cache is empty.
    void forget_server(std::uint64_t server, time_point now);

    /// Servers that have a prefix of the prompt cached, longest prefix first.
    [[nodiscard]] std::vector<prefix_holder> find_holders(std::span<const std::uint64_t> hashes,
                                                          time_point now) const;

    /// The block hash that identifies this prompt's homes: the hash of the block at `home_block`, or of the
    /// first block after a shared preamble that is longer. Prompts with the same chapter have the same key
    /// whatever task follows the chapter, and prompts that only share their preamble are spread over
    /// different homes. All entry processes must compute the same key. Each process detects shared preambles
    /// by itself, so only preambles longer than `home_block` depend on what it has seen. Nothing for a prompt
    /// without a complete block.
    [[nodiscard]] std::optional<std::uint64_t> home_key(std::span<const std::uint64_t> hashes) const;

    /// Number of blocks in the index.
    [[nodiscard]] std::size_t blocks() const noexcept { return m_blocks.size(); }

private:
    /// A server that has a block cached, and when that was last confirmed.
    struct holder {
        std::uint64_t server = 0;
        time_point confirmed_at{};
    };

    struct block {
        std::vector<holder> holders; ///< at most `max_holders`, most recently confirmed last
        std::uint64_t parent = 0;    ///< hash of the previous block of the prompt; 0 for the first block
        std::uint32_t followers = 0; ///< number of blocks in `m_blocks` whose parent is this block
        std::list<std::uint64_t>::iterator recency;
    };

    /// When entries of a server became uncertain (an event gap) or invalid (an engine restart).
    struct server_invalidation {
        time_point gap{};
        time_point forgotten{};
    };

    block& find_or_add(std::uint64_t hash, std::uint64_t parent);
    void remove_oldest();
    void add_holder(block& where, std::uint64_t server, time_point now);
    /// Whether the entry is still valid: confirmed after the server's last engine restart and within its
    /// lifetime.
    [[nodiscard]] bool is_valid(const holder& known, time_point now) const;
    [[nodiscard]] bool holds(std::uint64_t hash, std::uint64_t server, time_point now) const;

    prefix_index_settings m_settings;
    std::unordered_map<std::uint64_t, block> m_blocks;
    std::list<std::uint64_t> m_recency; ///< hashes of all blocks in `m_blocks`, most recently used first
    std::unordered_map<std::uint64_t, server_invalidation> m_invalidations;
};

} // namespace borageford::policy
