// Implementation of backend_directory. Which servers are in it is decided by backend_roster.
#include "gateway/backend_directory.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::gateway {

namespace {

/// Bounds the number of remembered keys. A grant names a server that its coordinator knew a moment ago; fewer
/// servers than this are removed within that time.
constexpr std::size_t max_previous_keys = 1024;

} // namespace

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
    const auto previous = std::exchange(entry, std::make_shared<backend>(std::move(record)));
    m_by_key[key] = entry;
    std::erase(m_previous_keys, key);
    if (previous != nullptr) {
        m_by_key.erase(previous->record().key());
        record_previous(previous->record().key());
        previous->retire();
    }
    notify_awaiting(key);
}

void backend_directory::when_known(policy::server_key key, std::weak_ptr<void> waiter,
                                   std::function<void()> on_known) {
    std::erase_if(m_awaited, [](const auto& entry) { return entry.second.waiter.expired(); });
    m_awaited.emplace(key, awaiting{std::move(waiter), std::move(on_known)});
}

void backend_directory::notify_awaiting(policy::server_key key) {
    const auto [first, last] = m_awaited.equal_range(key);
    std::vector<awaiting> notified;
    for (auto entry = first; entry != last; ++entry) {
        notified.push_back(std::move(entry->second));
    }
    m_awaited.erase(first, last);
    for (const auto& entry : notified) {
        if (const auto waiter = entry.waiter.lock()) {
            entry.on_known();
        }
    }
}

void backend_directory::remove(std::string_view id) {
    const auto found = m_backends.find(id);
    if (found != m_backends.end()) {
        found->second->record_removal();
        found->second->close_idle();
        m_by_key.erase(found->second->record().key());
        record_previous(found->second->record().key());
        m_backends.erase(found);
    }
}

void backend_directory::record_previous(policy::server_key key) {
    std::erase(m_previous_keys, key);
    m_previous_keys.push_back(key);
    if (m_previous_keys.size() > max_previous_keys) {
        m_previous_keys.pop_front();
    }
}

bool backend_directory::was_known(policy::server_key key) const {
    return std::ranges::find(m_previous_keys, key) != m_previous_keys.end();
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
