// A plain map; who is in it is decided by the follower of the store.
#include "gateway/backend_directory.hpp"

#include <algorithm>
#include <utility>

namespace borageford::gateway {

std::shared_ptr<backend> backend_directory::find(policy::server_key key) const {
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

std::shared_ptr<backend> backend_directory::find_id(std::string_view id) const {
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? nullptr : found->second;
}

void backend_directory::set(routing::backend_record record) {
    const auto key = record.key();
    auto& entry = m_backends[record.id];
    if (entry != nullptr && entry->record().key() == key) {
        entry->set_record(std::move(record));
        return;
    }
    const auto former = std::exchange(entry, std::make_shared<backend>(std::move(record)));
    m_by_key[key] = entry;
    if (former != nullptr) {
        m_by_key.erase(former->record().key());
        former->retire();
    }
}

void backend_directory::remove(std::string_view id) {
    const auto found = m_backends.find(id);
    if (found != m_backends.end()) {
        found->second->close_idle();
        m_by_key.erase(found->second->record().key());
        m_backends.erase(found);
    }
}

void backend_directory::close_expired(backend::clock::time_point now) {
    for (const auto& [id, server] : m_backends) {
        server->close_expired(now);
    }
}

bool backend_directory::has_ready() const {
    return std::ranges::any_of(m_backends, [](const auto& entry) {
        return entry.second->record().state == routing::backend_state::ready;
    });
}

} // namespace borageford::gateway
