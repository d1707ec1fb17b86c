// Implements slot_scheduler: its servers, the requests that occupy slots, and what is learned from them.
// slot_scheduler_admission.cpp, slot_scheduler_grants.cpp and slot_scheduler_memory.cpp have its other
// functions.
#include "policy/slot_scheduler.hpp"

#include "policy/server_capacity.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace borageford::policy {

void slot_scheduler::set_server(server_key server, service_key service, unsigned slots, domain_key domain,
                                server_software software) {
    auto& state = m_servers[server];
    if (state.is_usable && state.service != service) {
        remove_from_pool(state);
    }
    state.key = server;
    state.service = service;
    state.domain = domain;
    state.software = software;
    state.slots = slots;
    update_memory_limit(state);
    if (!std::exchange(state.is_usable, true)) {
        m_pools.insert(state);
    }
    update_with_room(state);
}

void slot_scheduler::set_share(double share) {
    if (share == m_limits.share) {
        return;
    }
    m_limits.share = share;
    for (auto& [key, server] : m_servers) {
        update_memory_limit(server);
        update_with_room(server);
    }
}

/// Adds the server to the list of servers with room, or removes it from that list. Must be called whenever
/// the server's slots, its outstanding requests, the share, is_usable or is_rate_blocked have changed.
void slot_scheduler::update_with_room(slot_server& server) {
    const bool has_room =
        server.is_usable && !server.is_rate_blocked && slots_left(m_limits, server, false) >= 1;
    m_pools.set_has_room(server, has_room);
}

void slot_scheduler::set_rate_share(rate_share share, time_point now) {
    if (share == m_rate_limits.share()) {
        return;
    }
    m_rate_limits.set_share(share);
    for (auto& [key, server] : m_servers) {
        m_rate_limits.apply_share(server, now);
        update_with_room(server);
    }
}

void slot_scheduler::set_rate_limit(server_key server, std::optional<double> per_second, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        m_rate_limits.set_limit(found->second, per_second, now);
        update_with_room(found->second);
    }
}

void slot_scheduler::restart_rate_limits(time_point now) {
    for (auto& [key, server] : m_servers) {
        m_rate_limits.restart(server, now);
        update_with_room(server);
    }
}

void slot_scheduler::examine_rate_limits(time_point now) {
    for (const auto& due : m_rate_limits.take_due(now)) {
        const auto found = m_servers.find(due.server);
        const bool is_held_back = found != m_servers.end() && found->second.is_rate_blocked;
        if (is_held_back && found->second.rate_blocked_until == due.until) {
            m_rate_limits.examine(found->second, now);
            update_with_room(found->second);
        }
    }
}

bool slot_scheduler::is_usable(server_key server) const {
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.is_usable;
}

void slot_scheduler::remove_from_pool(slot_server& server) {
    if (std::exchange(server.is_usable, false)) {
        m_pools.erase(server);
        m_has_fewer_servers = true;
    }
}

unsigned slot_scheduler::outstanding(server_key server) const {
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second.outstanding;
}

void slot_scheduler::remove_server(server_key server) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        remove_from_pool(found->second);
        erase_if_unused(server);
    }
}

void slot_scheduler::erase_if_unused(server_key server) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && !found->second.is_usable && found->second.outstanding == 0) {
        m_servers.erase(found);
    }
}

void slot_scheduler::set_backoff(server_key server, member_key member, time_point until, time_point now) {
    const auto found = m_servers.find(server);
    if (found != m_servers.end()) {
        found->second.backoff.extend(member, until, now);
        m_has_fewer_servers = true;
    }
}

std::vector<backoff_notice> slot_scheduler::list_backoffs(member_key member, time_point now) const {
    std::vector<backoff_notice> result;
    for (const auto& [key, server] : m_servers) {
        if (const auto end = server.backoff.end_of(member, now)) {
            result.push_back({key, *end});
        }
    }
    return result;
}

void slot_scheduler::add_running(const running_slot& slot, time_point now) {
    const running_request request{
        slot.server, slot.service, slot.tier, 0, {}, 0, m_memory.expect(slot.service, slot.cost)};
    if (m_running.emplace(slot.ticket, request).second) {
        auto& state = m_servers[slot.server];
        ++state.outstanding;
        state.memory.reserve(request.memory);
        update_with_room(state);
        floor_of(slot.service).begin(slot.tier, now);
    }
}

slot_floor& slot_scheduler::floor_of(service_key service) {
    return m_floors.try_emplace(service, m_limits.floor).first->second;
}

slot_reserve& slot_scheduler::reserve_of(service_key service) {
    return m_reserves.try_emplace(service, make_slot_reserve(m_limits.reserve)).first->second;
}

void slot_scheduler::release(const slot_release& ended, time_point now) {
    const auto running = m_running.find(ended.ticket);
    if (running == m_running.end()) {
        return;
    }
    const auto request = running->second;
    const auto server = request.server;
    m_running.erase(running);
    floor_of(request.service).end(request.tier, now);
    if (ended.outcome == slot_outcome::served) {
        m_slot_times.learn(request.service, request.tier, ended.busy);
    }
    auto& state = m_servers[server];
    state.learn(ended, request.prompt, request.read_mark, now);
    learn_memory(state, request, ended, now);
    state.memory.release(request.memory);
    --state.outstanding;
    update_with_room(state);
    record_outcome(server, ended.outcome, now);
    erase_if_unused(server);
}

void slot_scheduler::observe(const slot_release& ended, double prompt, time_point now) {
    const auto found = m_servers.find(ended.server);
    if (found != m_servers.end() && found->second.is_usable) {
        found->second.observe(ended, prompt);
        // The process that granted the slot reports the health change.
        static_cast<void>(found->second.health.record(ended.outcome, now));
    }
}

std::vector<server_report> slot_scheduler::report_servers(std::size_t max_count, time_point now) const {
    std::vector<server_report> result;
    for (const auto& [key, server] : m_servers) {
        auto report = server.report(now);
        if (server.is_usable && (report.first_events > 0 || report.rests > 0)) {
            result.push_back(report);
        }
    }
    const auto is_more_informative = [](const server_report& left, const server_report& right) {
        return std::tuple(left.rests > 0, left.first_events) >
               std::tuple(right.rests > 0, right.first_events);
    };
    const auto kept = std::min(max_count, result.size());
    std::ranges::partial_sort(result, result.begin() + static_cast<std::ptrdiff_t>(kept),
                              is_more_informative);
    result.resize(kept);
    return result;
}

void slot_scheduler::adopt(const server_report& reported, time_point now) {
    const auto found = m_servers.find(reported.server);
    if (found != m_servers.end()) {
        found->second.adopt(reported, now);
    }
}

void slot_scheduler::record_outcome(server_key server, slot_outcome outcome, time_point now) {
    auto& health = m_servers[server].health;
    const auto change = health.record(outcome, now);
    if (change != server_health::change::none) {
        m_health_changes.push_back({server, change, health.cooldown_until() - now, health.failures_in_row(),
                                    health.failures().share(now)});
    }
}

std::vector<slot_scheduler::health_change> slot_scheduler::take_health_changes() {
    return std::exchange(m_health_changes, {});
}

} // namespace borageford::policy
