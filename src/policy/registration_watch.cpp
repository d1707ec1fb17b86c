// Stores the end of the retention time for each retained server.
#include "policy/registration_watch.hpp"

#include <algorithm>
#include <ranges>

namespace borageford::policy {

bool registration_watch::is_around_outage(time_point now) const noexcept {
    return m_last_outage != time_point::min() && now - m_last_outage < grace;
}

void registration_watch::record_outage(time_point now, time_point answered) noexcept {
    const bool answers_others =
        m_other_connected_at != time_point::min() && now - m_other_connected_at < message_lifetime;
    if (answers_others) {
        return;
    }
    m_outage_begin = is_around_outage(now) ? std::min(m_outage_begin, answered) : answered;
    m_last_outage = now;
    for (auto& [server, until] : m_retained) {
        until = std::max(until, now + grace); // it couldn't register again meanwhile
    }
}

/// The beginning of the outage is set to the minimum, so that no other process's uninterrupted connection to
/// the store can cover it.
void registration_watch::record_store_restore(time_point now) noexcept {
    m_outage_begin = time_point::min();
    m_last_outage = now;
}

void registration_watch::record_other_connected(time_point now, duration unbroken) {
    m_other_connected_at = now;
    const bool is_over = is_around_outage(now) && now - m_last_outage >= message_delay;
    if (is_over && now - unbroken <= m_outage_begin) {
        discard_outage(now);
    }
}

/// Ends the retention that was started for an outage which affected only this process.
void registration_watch::discard_outage(time_point now) {
    m_last_outage = time_point::min();
    for (auto& [server, until] : m_retained) {
        const bool was_retained_for_outage = until - grace >= m_outage_begin;
        until = was_retained_for_outage ? now : until;
    }
}

bool registration_watch::should_remove(std::string_view server, time_point now) {
    if (!is_around_outage(now)) {
        return true;
    }
    retain_registration(server, m_last_outage);
    return false;
}

void registration_watch::retain_registration(std::string_view server, time_point outage) {
    m_retained.try_emplace(std::string(server), outage + grace);
}

std::vector<std::string> registration_watch::retained() const {
    const auto ids = std::views::keys(m_retained);
    return {ids.begin(), ids.end()};
}

void registration_watch::record_present(std::string_view server) {
    const auto found = m_retained.find(server);
    if (found != m_retained.end()) {
        m_retained.erase(found);
    }
}

std::vector<std::string> registration_watch::take_expired(time_point now) {
    std::vector<std::string> expired;
    for (auto entry = m_retained.begin(); entry != m_retained.end();) {
        if (entry->second <= now) {
            expired.push_back(entry->first);
            entry = m_retained.erase(entry);
        } else {
            ++entry;
        }
    }
    return expired;
}

} // namespace borageford::policy
