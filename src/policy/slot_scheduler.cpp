// Tiers in order, first come first served within one, to the server with the most room.
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace borageford::policy {

void slot_scheduler::set_server(std::string_view server, std::string_view service, unsigned slots) {
    auto& state = m_servers[std::string(server)];
    state.service = service;
    state.slots = slots;
    state.is_usable = true;
}

void slot_scheduler::remove_server(std::string_view server) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    found->second.is_usable = false;
    if (found->second.outstanding == 0) {
        m_servers.erase(found);
    }
}

void slot_scheduler::add(slot_request request) {
    m_queues[request.service][request.tier].push_back(request.ticket);
    const auto ticket = request.ticket;
    m_waiting.emplace(ticket, std::move(request));
}

bool slot_scheduler::withdraw(slot_ticket ticket) {
    return m_waiting.erase(ticket) > 0;
}

void slot_scheduler::release(std::string_view server) {
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return;
    }
    auto& state = found->second;
    state.outstanding -= state.outstanding > 0 ? 1 : 0;
    if (!state.is_usable && state.outstanding == 0) {
        m_servers.erase(found);
    }
}

double slot_scheduler::room(const server_state& server, bool is_lowest) const {
    double slots = server.slots;
    if (is_lowest) {
        slots = std::max(1.0, slots - m_limits.reserved_slots);
    }
    const double allowed = std::max(1.0, slots * m_limits.outstanding_per_slot * m_limits.share);
    return (allowed - server.outstanding) / server.slots;
}

std::string slot_scheduler::choose(const slot_request& request, bool is_lowest) const {
    std::string best;
    double most_room = 0;
    for (const auto& [id, server] : m_servers) {
        if (!server.is_usable || server.service != request.service) {
            continue;
        }
        const double free = room(server, is_lowest);
        const bool has_room = free * server.slots >= 1;
        if (has_room && free > most_room && std::ranges::find(request.avoided, id) == request.avoided.end()) {
            best = id;
            most_room = free;
        }
    }
    return best;
}

void slot_scheduler::grant_tier(tier_queue& queue, bool is_lowest, std::vector<slot_grant>& grants) {
    while (!queue.empty()) {
        const auto waiting = m_waiting.find(queue.front());
        if (waiting == m_waiting.end()) {
            queue.pop_front();
            continue;
        }
        auto server = choose(waiting->second, is_lowest);
        if (server.empty()) {
            return;
        }
        ++m_servers.find(server)->second.outstanding;
        grants.push_back({waiting->first, std::move(server)});
        m_waiting.erase(waiting);
        queue.pop_front();
    }
}

std::vector<slot_grant> slot_scheduler::grant() {
    std::vector<slot_grant> grants;
    for (auto& [service, tiers] : m_queues) {
        for (auto& [tier, queue] : tiers) {
            const bool is_lowest = tiers.size() > 1 && tier == tiers.rbegin()->first;
            grant_tier(queue, is_lowest, grants);
        }
    }
    return grants;
}

} // namespace borageford::policy
