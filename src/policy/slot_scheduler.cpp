// Tiers in order, first come first served within one, to the server with the most room.
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace borageford::policy {

namespace {

bool has_failed(const slot_request& request, server_key server) {
    return std::ranges::find(request.avoided, server) != request.avoided.end();
}

} // namespace

void slot_scheduler::set_server(server_key server, service_key service, unsigned slots) {
    auto& state = m_servers[server];
    state.service = service;
    state.slots = slots;
    state.is_usable = true;
}

void slot_scheduler::remove_server(server_key server) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        found->second.is_usable = false;
        drop_unused(server);
    }
}

void slot_scheduler::drop_unused(server_key server) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.is_usable && found->second.outstanding == 0) {
        m_servers.erase(found);
    }
}

void slot_scheduler::add(const slot_request& request) {
    m_queues[request.service][request.tier].push_back(request.ticket);
    m_waiting.emplace(request.ticket, request);
}

bool slot_scheduler::withdraw(slot_ticket ticket) {
    return m_waiting.erase(ticket) > 0;
}

void slot_scheduler::add_running(slot_ticket ticket, server_key server) {
    if (m_running.emplace(ticket, server).second) {
        ++m_servers[server].outstanding;
    }
}

void slot_scheduler::release(const slot_release& ended, time_point now) {
    const auto running = m_running.find(ended.ticket);
    if (running == m_running.end()) {
        return;
    }
    const auto server = running->second;
    m_running.erase(running);
    --m_servers[server].outstanding;
    record_outcome(server, ended.outcome, now);
    drop_unused(server);
}

void slot_scheduler::record_outcome(server_key server, slot_outcome outcome, time_point now) {
    auto& health = m_servers[server].health;
    const auto change = health.record(outcome, now);
    if (change != server_health::change::none) {
        m_health_changes.push_back({server, change == server_health::change::rests,
                                    health.rests_until() - now, health.failures_in_row(),
                                    health.failure_share()});
    }
}

std::vector<slot_scheduler::health_change> slot_scheduler::take_health_changes() {
    return std::exchange(m_health_changes, {});
}

void slot_scheduler::clear_requests() {
    m_queues.clear();
    m_waiting.clear();
    m_running.clear();
    std::erase_if(m_servers, [](const auto& entry) { return !entry.second.is_usable; });
    for (auto& [key, server] : m_servers) {
        server.outstanding = 0;
    }
}

double slot_scheduler::room(const server_state& server, bool is_lowest, time_point now) const {
    const auto trust = server.health.look(now);
    if (trust != server_health::trust::full) {
        return trust == server_health::trust::probe && server.outstanding == 0 ? 1 : 0;
    }
    double slots = server.slots;
    if (is_lowest) {
        slots = std::max(1.0, slots - m_limits.reserved_slots);
    }
    const double allowed = std::max(1.0, slots * m_limits.outstanding_per_slot * m_limits.share);
    return allowed - server.outstanding;
}

/// Whether a server that hasn't failed the request takes work, busy or not. Where there is none, one that has
/// failed it is better than no answer.
bool slot_scheduler::has_fresh_server(const slot_request& request, time_point now) const {
    return std::ranges::any_of(m_servers, [&](const auto& entry) {
        const auto& [key, server] = entry;
        return server.is_usable && server.service == request.service && !has_failed(request, key) &&
               server.health.look(now) != server_health::trust::none;
    });
}

server_key slot_scheduler::choose(const slot_request& request, bool is_lowest, time_point now) const {
    const bool avoids = request.avoided.front() != 0 && has_fresh_server(request, now);
    server_key best = 0;
    double most_room = 0;
    std::uint64_t longest_ago = 0;
    for (const auto& [key, server] : m_servers) {
        if (!server.is_usable || server.service != request.service || (avoids && has_failed(request, key))) {
            continue;
        }
        const double free = room(server, is_lowest, now);
        const double share = free / server.slots;
        const bool is_better = share > most_room || (share == most_room && server.last_grant < longest_ago);
        if (free >= 1 && is_better) {
            best = key;
            most_room = share;
            longest_ago = server.last_grant;
        }
    }
    return best;
}

void slot_scheduler::grant_tier(tier_queue& queue, bool is_lowest, time_point now,
                                std::vector<slot_grant>& grants) {
    while (!queue.empty()) {
        const auto waiting = m_waiting.find(queue.front());
        if (waiting == m_waiting.end()) {
            queue.pop_front();
            continue;
        }
        const auto server = choose(waiting->second, is_lowest, now);
        if (server == 0) {
            return;
        }
        add_running(waiting->first, server);
        m_servers[server].last_grant = ++m_grants;
        grants.push_back({waiting->first, server});
        m_waiting.erase(waiting);
        queue.pop_front();
    }
}

std::vector<slot_grant> slot_scheduler::grant(time_point now) {
    std::vector<slot_grant> grants;
    for (auto& [service, tiers] : m_queues) {
        for (auto& [tier, queue] : tiers) {
            const bool is_lowest = tiers.size() > 1 && tier == tiers.rbegin()->first;
            grant_tier(queue, is_lowest, now, grants);
        }
    }
    return grants;
}

} // namespace borageford::policy
