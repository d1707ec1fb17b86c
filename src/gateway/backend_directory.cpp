// A plain map; who is in it is decided by the follower of the store.
#include "gateway/backend_directory.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace borageford::gateway {

std::shared_ptr<backend> backend_directory::find(policy::server_key key) const {
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

void backend_directory::set(routing::backend_record record) {
    auto& entry = m_backends[record.id];
    if (entry == nullptr) {
        const auto key = hash_bytes(record.id);
        entry = std::make_shared<backend>(std::move(record));
        m_by_key[key] = entry;
    } else {
        entry->set_record(std::move(record));
    }
}

void backend_directory::remove(std::string_view id) {
    const auto found = m_backends.find(id);
    if (found != m_backends.end()) {
        found->second->close_idle();
        m_by_key.erase(hash_bytes(id));
        m_backends.erase(found);
    }
}

bool backend_directory::has_ready() const {
    return std::ranges::any_of(m_backends, [](const auto& entry) {
        return entry.second->record().state == routing::backend_state::ready;
    });
}

} // namespace borageford::gateway
