// The idle connections read on, so that one the server closes is dropped before a request is sent on it.
#include "gateway/backend.hpp"

#include <algorithm>
#include <utility>

namespace borageford::gateway {

backend::backend(routing::backend_record record) : m_record(std::move(record)) {}

std::shared_ptr<net::connection> backend::take_idle(clock::duration longest_idle) {
    const auto now = clock::now();
    close_expired(now);
    if (m_idle.empty() || now - m_idle.back().since > longest_idle) {
        return nullptr;
    }
    auto connection = std::move(m_idle.back().connection);
    m_idle.pop_back();
    connection->set_handlers({});
    return connection;
}

void backend::give_back(std::shared_ptr<net::connection> connection, clock::duration keep) {
    const auto now = clock::now();
    const auto* raw = connection.get();
    const std::weak_ptr<backend> weak = weak_from_this();
    const auto drop = [weak, raw] {
        if (const auto self = weak.lock()) {
            self->forget(raw);
        }
    };
    // Bytes without a request before them belong to nobody: the connection can't be trusted any more.
    connection->set_handlers({drop, [drop](net::connection_end) { drop(); }, {}});
    connection->read();
    m_idle.push_back({std::move(connection), now, now + keep});
}

void backend::forget(const net::connection* ended) {
    const auto found = std::ranges::find_if(
        m_idle, [ended](const idle_connection& entry) { return entry.connection.get() == ended; });
    if (found != m_idle.end()) {
        found->connection->close();
        m_idle.erase(found);
    }
}

void backend::close_expired(clock::time_point now) {
    std::erase_if(m_idle, [now](const idle_connection& entry) {
        if (entry.until > now) {
            return false;
        }
        entry.connection->close();
        return true;
    });
}

void backend::close_idle() {
    for (const auto& entry : m_idle) {
        entry.connection->close();
    }
    m_idle.clear();
}

} // namespace borageford::gateway
