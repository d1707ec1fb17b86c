// What this entry remembers of where prompts were started, so that the next request with the same beginning
// finds the prefix still cached.
#pragma once

#include "policy/prefix_index.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace borageford::entry {

/// Thread-safe.
class placement_memory {
public:
    void record_start(std::span<const std::uint64_t> hashes, std::uint64_t server);
    /// A server's engine died: it holds nothing any more.
    void forget_server(std::uint64_t server);

    [[nodiscard]] std::vector<policy::prefix_holder>
    find_holders(std::span<const std::uint64_t> hashes) const;
    [[nodiscard]] std::optional<std::uint64_t> home_key(std::span<const std::uint64_t> hashes) const;

private:
    mutable std::mutex m_mutex;
    policy::prefix_index m_index; ///< guarded by m_mutex
};

} // namespace borageford::entry
