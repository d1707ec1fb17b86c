// Adds a lock and the current time to the functions of policy::prefix_index.
#include "entry/prefix_tracker.hpp"

#include <algorithm>

namespace borageford::entry {

using std::chrono::steady_clock;

std::optional<std::uint64_t> prefix_tracker::home_key(hashes prompt) const {
    const std::lock_guard lock(m_mutex);
    return m_index.home_key(prompt);
}

std::vector<policy::prefix_holder> prefix_tracker::find_holders(hashes prompt) const {
    const std::lock_guard lock(m_mutex);
    return m_index.find_holders(prompt, steady_clock::now());
}

void prefix_tracker::record_start(hashes prompt, std::uint64_t server) {
    const std::lock_guard lock(m_mutex);
    m_index.record_start(prompt, server, steady_clock::now());
}

void prefix_tracker::record_reply(hashes prompt, std::optional<std::uint64_t> last_cached,
                                  std::uint64_t server) {
    std::size_t blocks = 0;
    if (last_cached) {
        const auto found = std::ranges::find(prompt, *last_cached);
        blocks = found == prompt.end() ? 0 : static_cast<std::size_t>(found - prompt.begin()) + 1;
    }
    const std::lock_guard lock(m_mutex);
    m_index.record_cached(prompt, blocks, server, steady_clock::now());
}

void prefix_tracker::forget_server(std::uint64_t server) {
    const std::lock_guard lock(m_mutex);
    m_index.forget_server(server, steady_clock::now());
}

} // namespace borageford::entry
