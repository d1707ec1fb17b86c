// Keeps the origins by stream, and the streams in the order in which they are dropped.
#include "policy/stream_origin_table.hpp"

#include <algorithm>

namespace borageford::policy {

void stream_origin_table::add(const stream_origin& origin, time_point now) {
    if (now - origin.noted > m_lifetime) {
        return;
    }
    const auto [found, is_new] = m_origins.try_emplace(origin.stream, origin);
    auto& known = found->second;
    const bool is_same = known.service == origin.service && known.software == origin.software;
    const bool is_later = origin.noted > known.noted;
    if (!is_same) {
        known.software = 0;
    }
    if (is_new || is_later) {
        known.noted = origin.noted;
        m_order.push_back({origin.noted, origin.stream});
    }
    make_room(now);
}

std::optional<stream_origin> stream_origin_table::find(stream_key stream, time_point now) const {
    const auto found = m_origins.find(stream);
    const bool is_known = found != m_origins.end() && now - found->second.noted <= m_lifetime;
    return is_known ? std::optional(found->second) : std::nullopt;
}

/// Whether the stream was noted again after this entry, or is no longer remembered.
bool stream_origin_table::is_outdated(const noted_stream& entry) const {
    const auto found = m_origins.find(entry.stream);
    return found == m_origins.end() || found->second.noted != entry.noted;
}

void stream_origin_table::make_room(time_point now) {
    while (!m_order.empty()) {
        const auto& oldest = m_order.front();
        const bool is_outdated_entry = is_outdated(oldest);
        const bool is_over = now - oldest.noted > m_lifetime;
        if (!is_outdated_entry && !is_over && m_origins.size() <= m_capacity) {
            return;
        }
        if (!is_outdated_entry) {
            m_origins.erase(oldest.stream);
            m_dropped += is_over ? 0 : 1;
        }
        m_order.pop_front();
    }
}

} // namespace borageford::policy
