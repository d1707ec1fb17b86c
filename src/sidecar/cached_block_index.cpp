// Implementation of cached_block_index: a bounded set of block hashes.
#include "sidecar/cached_block_index.hpp"

namespace borageford::sidecar {

void cached_block_index::add(std::span<const std::uint64_t> hashes) {
    for (const auto hash : hashes) {
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            m_use.splice(m_use.begin(), m_use, found->second);
            continue;
        }
        m_use.push_front(hash);
        m_blocks.emplace(hash, m_use.begin());
        if (m_blocks.size() > m_limit) {
            m_blocks.erase(m_use.back());
            m_use.pop_back();
        }
    }
}

void cached_block_index::remove(std::span<const std::uint64_t> hashes) {
    for (const auto hash : hashes) {
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            m_use.erase(found->second);
            m_blocks.erase(found);
        }
    }
}

void cached_block_index::clear() {
    m_blocks.clear();
    m_use.clear();
}

std::uint32_t cached_block_index::cached_tokens(std::span<const std::uint64_t> hashes) const {
    std::uint32_t tokens = 0;
    for (const auto hash : hashes) {
        if (!m_blocks.contains(hash)) {
            break;
        }
        tokens += tokens_per_block;
    }
    return tokens;
}

} // namespace borageford::sidecar
