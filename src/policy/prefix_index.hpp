// Which backend servers are believed to hold which prompt prefixes, and where a prompt's own part begins.
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

/// Bytes of a prompt block (docs/INTERFACES.md).
inline constexpr std::size_t prefix_block_bytes = 256;
/// Tokens of a prompt block.
inline constexpr std::uint32_t prefix_block_tokens = 64;

/// The chained hashes of a prompt's whole blocks: each block's hash seeds the next one's. At most
/// `most_blocks`, since what follows adds little to finding a prefix again.
[[nodiscard]] std::vector<std::uint64_t> hash_prefix_blocks(std::string_view prompt,
                                                            std::size_t most_blocks = 512);

struct prefix_index_settings {
    std::size_t most_blocks = 1U << 16U;
    /// Servers remembered per block.
    std::size_t most_holders = 4;
    /// Engines keep prefixes in limited memory; what wasn't confirmed for so long is probably gone.
    duration holder_lifetime = std::chrono::minutes(10);
    /// The same after a gap in the server's cache events, which may have hidden an eviction.
    duration lifetime_after_gap = std::chrono::seconds(60);
    /// Far enough into a prompt to tell chapters apart that begin with the same instructions, near enough to
    /// its beginning for short prompts.
    std::size_t home_block = 3;
    /// A block followed by so many different ones ends a preamble that many prompts share. More than the
    /// tasks that follow one chapter, fewer than the chapters of one workspace.
    std::uint32_t shared_by = 24;
};

/// A server that is believed to hold the first blocks of a prompt.
struct prefix_holder {
    std::uint64_t server = 0; ///< hash of its name
    std::uint32_t tokens = 0; ///< cached from the prompt's beginning on, without a hole
};

/// Invariant: never more than `most_blocks` blocks; the least recently used leave first. All it says is a
/// hint: engines evict without telling at once.
class prefix_index {
public:
    explicit prefix_index(prefix_index_settings settings = {});

    /// A request with this prompt was started at the server.
    void record_start(std::span<const std::uint64_t> hashes, std::uint64_t server, time_point now);

    /// Cache events of the server's engine, in any order of blocks.
    void record_stored(std::span<const std::uint64_t> hashes, std::uint64_t server, time_point now);
    void record_evicted(std::span<const std::uint64_t> hashes, std::uint64_t server);

    /// The server's sidecar says how many of the prompt's first blocks are cached there, no more and no less.
    void record_cached(std::span<const std::uint64_t> hashes, std::size_t blocks, std::uint64_t server,
                       time_point now);

    /// Some of the server's events were missed.
    void record_gap(std::uint64_t server, time_point now);

    /// The server's engine was restarted: it holds nothing.
    void forget_server(std::uint64_t server, time_point now);

    /// Servers that hold a beginning of the prompt, the longest first.
    [[nodiscard]] std::vector<prefix_holder> find_holders(std::span<const std::uint64_t> hashes,
                                                          time_point now) const;

    /// The hash that names this prompt's homes: that of the block at `home_block`, or of the first one after
    /// a shared preamble that is longer. Prompts of one chapter agree on it whatever task follows the
    /// chapter; prompts that have only their preamble in common don't crowd at one home. All entries must
    /// agree on it, so only long preambles, which each entry learns by itself, are left to learning. Nothing
    /// for a prompt without a whole block.
    [[nodiscard]] std::optional<std::uint64_t> home_key(std::span<const std::uint64_t> hashes) const;

    [[nodiscard]] std::size_t blocks() const noexcept { return m_blocks.size(); }

private:
    struct holder {
        std::uint64_t server = 0;
        time_point confirmed_at{};
    };

    struct block {
        std::vector<holder> holders; ///< at most `most_holders`, the latest confirmed last
        std::uint64_t parent = 0;    ///< the block before it; 0 for the first of a prompt
        std::uint32_t followers = 0; ///< blocks of m_blocks whose parent it is
        std::list<std::uint64_t>::iterator recency;
    };

    /// When what was known of a server became doubtful.
    struct server_doubts {
        time_point gap{};
        time_point forgotten{};
    };

    block& find_or_add(std::uint64_t hash, std::uint64_t parent);
    void remove_oldest();
    void add_holder(block& where, std::uint64_t server, time_point now);
    [[nodiscard]] bool is_believed(const holder& known, time_point now) const;
    [[nodiscard]] bool holds(std::uint64_t hash, std::uint64_t server, time_point now) const;

    prefix_index_settings m_settings;
    std::unordered_map<std::uint64_t, block> m_blocks;
    std::list<std::uint64_t> m_recency; ///< every block of m_blocks once, the latest used first
    std::unordered_map<std::uint64_t, server_doubts> m_doubts;
};

} // namespace borageford::policy
