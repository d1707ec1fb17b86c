// Tracks which backend servers have which prompt prefixes cached: policy::prefix_index with a lock.
#pragma once

#include "policy/prefix_index.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace borageford::entry {

/// Thread-safe. Uses a lock instead of a snapshot because every started request writes, and the lock is held
/// only for a few microseconds. `prompt` is always a prompt's block hashes (policy::hash_prefix_blocks()),
/// and `server` the hash of a backend server's name.
class prefix_tracker {
public:
    using hashes = std::span<const std::uint64_t>;

    /// The key that determines the prompt's preferred ("home") servers; see policy::prefix_index::home_key().
    [[nodiscard]] std::optional<std::uint64_t> home_key(hashes prompt) const;
    /// The servers that have a prefix of the prompt cached, the one with the longest prefix first.
    [[nodiscard]] std::vector<policy::prefix_holder> find_holders(hashes prompt) const;

    /// Records that a request with this prompt was started at the server.
    void record_start(hashes prompt, std::uint64_t server);

    /// Records a sidecar's reply to an offer. `last_cached` is the hash of the last block of the prompt that
    /// the engine has cached; nothing when it has none of the blocks.
    void record_reply(hashes prompt, std::optional<std::uint64_t> last_cached, std::uint64_t server);

    /// Removes everything known about the server, because its engine died and its cache is empty.
    void forget_server(std::uint64_t server);

private:
    mutable std::mutex m_mutex;
    policy::prefix_index m_index; ///< guarded by m_mutex
};

} // namespace borageford::entry
