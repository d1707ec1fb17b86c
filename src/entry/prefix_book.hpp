// What an entry knows of cached prefixes: policy::prefix_index, for many threads.
#pragma once

#include "policy/prefix_index.hpp"

#include <cstdint>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace borageford::entry {

/// Thread-safe. A lock and not a snapshot: every start writes, and the lock is held for some microseconds.
class prefix_book {
public:
    using hashes = std::span<const std::uint64_t>;

    [[nodiscard]] std::optional<std::uint64_t> home_key(hashes prompt) const;
    [[nodiscard]] std::vector<policy::prefix_holder> find_holders(hashes prompt) const;

    /// The prompt was started at the backend server with this hash of its name.
    void record_start(hashes prompt, std::uint64_t server);

    /// A sidecar's reply named the last block of the prompt that its engine has cached; nothing: none is.
    void record_reply(hashes prompt, std::optional<std::uint64_t> last_cached, std::uint64_t server);

    /// The server's engine died: it holds nothing any more.
    void forget_server(std::uint64_t server);

private:
    mutable std::mutex m_mutex;
    policy::prefix_index m_index; ///< guarded by m_mutex
};

} // namespace borageford::entry
