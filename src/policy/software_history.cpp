// Counts the servers of each version.
#include "policy/software_history.hpp"

#include <algorithm>

namespace borageford::policy {

void software_history::add(server_key server, service_key service, software_key software, time_point now) {
    if (const auto known = m_servers.find(server); known != m_servers.end()) {
        if (known->second.service == service && known->second.software == software) {
            return;
        }
        remove(server, now);
    }
    m_servers[server] = {service, software};
    auto& all = m_services[service];
    std::erase_if(all, [&](const auto& entry) { return !counts(entry.second, now); });
    if (all.try_emplace(software).second) {
        ++m_revision;
    }
    ++all[software].servers;
}

void software_history::remove(server_key server, time_point now) {
    const auto known = m_servers.find(server);
    if (known == m_servers.end()) {
        return;
    }
    auto& left = m_services[known->second.service][known->second.software];
    --left.servers;
    left.left = now;
    m_servers.erase(known);
}

void software_history::note_former(service_key service, software_key software, time_point now) {
    const auto [noted, is_new] = m_services[service].try_emplace(software);
    noted->second.left = now;
    m_revision += is_new ? 1 : 0;
}

void software_history::interrupt(time_point now) {
    m_known_since = now;
    m_settled.clear();
    ++m_revision;
}

void software_history::settle(service_key service, software_key software, time_point now) {
    note_former(service, software, now);
    const auto found = m_services.find(service);
    const bool has_other =
        found != m_services.end() && std::ranges::any_of(found->second, [&](const auto& entry) {
            return entry.first != software && counts(entry.second, now);
        });
    if (!has_other) {
        m_settled.insert(service);
    }
}

std::optional<software_key> software_history::only_version(service_key service, time_point now) const {
    const auto found = m_services.find(service);
    if (found == m_services.end() || !is_settled(service, now)) {
        return std::nullopt;
    }
    std::optional<software_key> only;
    for (const auto& [software, known] : found->second) {
        if (!counts(known, now)) {
            continue;
        }
        if (only.has_value()) {
            return std::nullopt;
        }
        only = software;
    }
    return only == software_key{0} ? std::nullopt : only; // 0 stands for a version that nobody knows
}

software_versions software_history::list(time_point now) const {
    software_versions result;
    for (const auto& [service, versions] : m_services) {
        for (const auto& [software, known] : versions) {
            if (counts(known, now)) {
                result[service].insert(software);
            }
        }
    }
    return result;
}

bool software_history::is_settled(service_key service, time_point now) const {
    return m_known_since == time_point::min() || now - m_known_since > m_lifetime ||
           m_settled.contains(service);
}

} // namespace borageford::policy
