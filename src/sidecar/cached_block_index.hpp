// The prompt blocks that the engine has probably cached, known from the requests that were run here and
// corrected by the engine's cache events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace borageford::sidecar {

/// A set of block hashes. Its content is only a hint, because cache events arrive late and some are missing.
/// Invariant: at most `limit` blocks are kept; the least recently used is removed first.
class cached_block_index {
public:
    static constexpr std::uint32_t tokens_per_block = 64;

    explicit cached_block_index(std::size_t limit) : m_limit(limit) {}

    /// Adds blocks, or makes them the most recently used ones.
    void add(std::span<const std::uint64_t> hashes);
    void remove(std::span<const std::uint64_t> hashes);
    void clear();

    /// The number of prompt tokens, counted from the prompt's beginning, whose blocks are all cached.
    /// `hashes` are the blocks of the prompt in order.
    [[nodiscard]] std::uint32_t cached_tokens(std::span<const std::uint64_t> hashes) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_blocks.size(); }

private:
    std::size_t m_limit;
    std::list<std::uint64_t> m_use; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace borageford::sidecar
