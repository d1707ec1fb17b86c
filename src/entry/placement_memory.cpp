// The prefix index behind a mutex.
#include "entry/placement_memory.hpp"

#include <chrono>

namespace borageford::entry {

using std::chrono::steady_clock;

void placement_memory::record_start(std::span<const std::uint64_t> hashes, std::uint64_t server) {
    const std::scoped_lock lock(m_mutex);
    m_index.record_start(hashes, server, steady_clock::now());
}

void placement_memory::forget_server(std::uint64_t server) {
    const std::scoped_lock lock(m_mutex);
    m_index.forget_server(server, steady_clock::now());
}

std::vector<policy::prefix_holder>
placement_memory::find_holders(std::span<const std::uint64_t> hashes) const {
    const std::scoped_lock lock(m_mutex);
    return m_index.find_holders(hashes, steady_clock::now());
}

std::optional<std::uint64_t> placement_memory::home_key(std::span<const std::uint64_t> hashes) const {
    const std::scoped_lock lock(m_mutex);
    return m_index.home_key(hashes);
}

} // namespace borageford::entry
