// Which blocks of prompts the engine has probably cached: learned from what was started here, corrected by
// the engine's cache events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace borageford::sidecar {

/// Invariant: at most `limit` blocks are held, those not used for longest going first. A hint only: events
/// come late and with gaps.
class prefix_memory {
public:
    static constexpr std::uint32_t tokens_per_block = 64;

    explicit prefix_memory(std::size_t limit) : m_limit(limit) {}

    void add(std::span<const std::uint64_t> hashes);
    void remove(std::span<const std::uint64_t> hashes);
    void clear();

    /// Tokens of a prompt's blocks from its beginning that are cached without a gap.
    [[nodiscard]] std::uint32_t cached_tokens(std::span<const std::uint64_t> hashes) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_blocks.size(); }

private:
    std::size_t m_limit;
    std::list<std::uint64_t> m_use; ///< most recent first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace borageford::sidecar
