// Implements a bounded tree of prompt blocks as a map from hash to block, since a chained hash identifies the
// complete path to a block.
#include "policy/prefix_index.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <ranges>

namespace borageford::policy {

std::vector<std::uint64_t> hash_prefix_blocks(std::string_view prompt, std::size_t most_blocks) {
    const std::size_t count = std::min(prompt.size() / prefix_block_bytes, most_blocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    std::uint64_t previous = 0;
    for (std::size_t index = 0; index < count; ++index) {
        previous = hash_bytes(prompt.substr(index * prefix_block_bytes, prefix_block_bytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

prefix_index::prefix_index(prefix_index_settings settings) : m_settings(settings) {}

void prefix_index::record_start(std::span<const std::uint64_t> hashes, std::uint64_t server, time_point now) {
    std::uint64_t parent = 0;
    const auto kept = hashes.first(std::min(hashes.size(), m_settings.most_blocks));
    for (const auto hash : kept) {
        add_holder(find_or_add(hash, parent), server, now);
        parent = hash;
    }
    // The first block is moved to the front last, so that the index forgets a prompt from its end.
    for (const auto hash : std::ranges::reverse_view(kept)) {
        m_recency.splice(m_recency.begin(), m_recency, m_blocks.at(hash).recency);
    }
    while (m_blocks.size() > m_settings.most_blocks) {
        remove_oldest();
    }
}

void prefix_index::record_stored(std::span<const std::uint64_t> hashes, std::uint64_t server,
                                 time_point now) {
    // Only blocks of prompts that were seen here are useful, and only their parents are known.
    for (const auto hash : hashes) {
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            add_holder(found->second, server, now);
        }
    }
}

void prefix_index::record_evicted(std::span<const std::uint64_t> hashes, std::uint64_t server) {
    for (const auto hash : hashes) {
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            std::erase_if(found->second.holders,
                          [server](const holder& known) { return known.server == server; });
        }
    }
}

void prefix_index::record_cached(std::span<const std::uint64_t> hashes, std::size_t blocks,
                                 std::uint64_t server, time_point now) {
    const auto held = hashes.first(std::min(blocks, hashes.size()));
    record_stored(held, server, now);
    // Removing only the first block that isn't cached is sufficient: it ends the prefix, whatever entries
    // exist for later blocks.
    record_evicted(hashes.subspan(held.size()).first(held.size() < hashes.size() ? 1 : 0), server);
}

void prefix_index::record_gap(std::uint64_t server, time_point now) {
    m_invalidations[server].gap = now;
}

void prefix_index::forget_server(std::uint64_t server, time_point now) {
    m_invalidations[server].forgotten = now;
}

std::vector<prefix_holder> prefix_index::find_holders(std::span<const std::uint64_t> hashes,
                                                      time_point now) const {
    std::vector<prefix_holder> holders;
    const auto first = hashes.empty() ? m_blocks.end() : m_blocks.find(hashes.front());
    if (first == m_blocks.end()) {
        return holders;
    }
    for (const auto& known : first->second.holders) {
        std::uint32_t blocks = 0;
        while (blocks < hashes.size() && holds(hashes[blocks], known.server, now)) {
            ++blocks;
        }
        if (blocks > 0) {
            holders.push_back({known.server, blocks * prefix_block_tokens});
        }
    }
    std::ranges::sort(holders, std::ranges::greater{}, &prefix_holder::tokens);
    return holders;
}

std::optional<std::uint64_t> prefix_index::home_key(std::span<const std::uint64_t> hashes) const {
    if (hashes.empty()) {
        return std::nullopt;
    }
    std::size_t home_block_index = std::min(m_settings.home_block, hashes.size() - 1);
    for (std::size_t depth = home_block_index; depth + 1 < hashes.size(); ++depth) {
        const auto found = m_blocks.find(hashes[depth]);
        if (found == m_blocks.end()) {
            break;
        }
        if (found->second.followers >= m_settings.min_followers_of_preamble) {
            home_block_index = depth + 1;
        }
    }
    return hashes[home_block_index];
}

prefix_index::block& prefix_index::find_or_add(std::uint64_t hash, std::uint64_t parent) {
    const auto [place, is_new] = m_blocks.try_emplace(hash);
    if (is_new) {
        place->second.parent = parent;
        place->second.recency = m_recency.insert(m_recency.begin(), hash);
        if (const auto before = m_blocks.find(parent); parent != 0 && before != m_blocks.end()) {
            ++before->second.followers;
        }
    }
    return place->second;
}

void prefix_index::remove_oldest() {
    const auto oldest = m_blocks.find(m_recency.back());
    if (const auto before = m_blocks.find(oldest->second.parent); before != m_blocks.end()) {
        --before->second.followers;
    }
    m_blocks.erase(oldest);
    m_recency.pop_back();
}

void prefix_index::add_holder(block& where, std::uint64_t server, time_point now) {
    std::erase_if(where.holders, [server](const holder& known) { return known.server == server; });
    if (where.holders.size() >= m_settings.max_holders) {
        where.holders.erase(where.holders.begin());
    }
    where.holders.push_back({server, now});
}

bool prefix_index::is_valid(const holder& known, time_point now) const {
    duration lifetime = m_settings.holder_lifetime;
    if (const auto invalidation = m_invalidations.find(known.server); invalidation != m_invalidations.end()) {
        if (known.confirmed_at <= invalidation->second.forgotten) {
            return false;
        }
        if (known.confirmed_at <= invalidation->second.gap) {
            lifetime = m_settings.lifetime_after_gap;
        }
    }
    return now - known.confirmed_at <= lifetime;
}

bool prefix_index::holds(std::uint64_t hash, std::uint64_t server, time_point now) const {
    const auto found = m_blocks.find(hash);
    if (found == m_blocks.end()) {
        return false;
    }
    return std::ranges::any_of(found->second.holders, [&](const holder& known) {
        return known.server == server && is_valid(known, now);
    });
}

} // namespace borageford::policy
