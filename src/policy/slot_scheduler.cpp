// Tiers in order; within one, what can still be in time goes first.
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

/// Part of its target that a request waits for a server that is fast enough for it.
constexpr double wait_for_fast_server = 0.4;

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
    const queue_place place{request.arrived, request.ticket};
    m_queues[request.service][request.tier].emplace(place, request);
    m_waiting[request.ticket] = {request.service, request.tier, place};
}

bool slot_scheduler::withdraw(slot_ticket ticket) {
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return false;
    }
    m_queues[found->second.service][found->second.tier].erase(found->second.place);
    m_waiting.erase(found);
    return true;
}

void slot_scheduler::add_running(slot_ticket ticket, server_key server) {
    if (m_running.emplace(ticket, running_request{server, 0}).second) {
        ++m_servers[server].outstanding;
    }
}

void slot_scheduler::release(const slot_release& ended, time_point now) {
    const auto running = m_running.find(ended.ticket);
    if (running == m_running.end()) {
        return;
    }
    const auto [server, prompt] = running->second;
    m_running.erase(running);
    auto& state = m_servers[server];
    --state.outstanding;
    if (ended.first_event > duration::zero()) {
        state.first_event.learn(prompt, ended.first_event);
    }
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

bool slot_scheduler::has_room(service_key service, bool is_lowest, time_point now) const {
    return std::ranges::any_of(m_servers, [&](const auto& entry) {
        const auto& server = entry.second;
        return server.is_usable && server.service == service && room(server, is_lowest, now) >= 1;
    });
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

duration slot_scheduler::expect_first_event(const server_state& server, const slot_request& request,
                                            time_point now) const {
    const auto backlog = std::max(duration::zero(), server.reads_until - now);
    return backlog + server.first_event.expect(request.cost.prompt);
}

/// A request is late when no server could bring its first event in time any more, free or not. One that waits
/// for a fast server isn't, for a while: under lasting load the fast ones may never be free for it.
slot_scheduler::punctuality slot_scheduler::judge(const slot_request& request, time_point now) const {
    const auto left = request.arrived + request.target - now;
    if (now - request.arrived > from_seconds(to_seconds(request.target) * wait_for_fast_server)) {
        return punctuality::late;
    }
    const bool can_be_in_time = std::ranges::any_of(m_servers, [&](const auto& entry) {
        const auto& server = entry.second;
        return server.is_usable && server.service == request.service &&
               server.first_event.expect(request.cost.prompt) <= left;
    });
    return can_be_in_time ? punctuality::in_time : punctuality::late;
}

/// The server that is expected to bring the first event soonest, among those with room; for a request that
/// can still be in time, only one that is fast enough. Long prompts thus wait for a fast server instead of
/// holding up a slow one, where every stream beside them would pause.
server_key slot_scheduler::choose(const slot_request& request, bool is_lowest, punctuality wanted,
                                  time_point now) const {
    const bool avoids = request.avoided.front() != 0 && has_fresh_server(request, now);
    const auto left = request.arrived + request.target - now;
    server_key best = 0;
    auto soonest = duration::max();
    std::uint64_t longest_ago = 0;
    for (const auto& [key, server] : m_servers) {
        if (!server.is_usable || server.service != request.service || (avoids && has_failed(request, key)) ||
            room(server, is_lowest, now) < 1) {
            continue;
        }
        const auto expected = expect_first_event(server, request, now);
        if (wanted == punctuality::in_time && expected > left) {
            continue;
        }
        if (expected < soonest || (expected == soonest && server.last_grant < longest_ago)) {
            best = key;
            soonest = expected;
            longest_ago = server.last_grant;
        }
    }
    return best;
}

void slot_scheduler::start(tier_queue& queue, tier_queue::iterator waiting, server_key server, time_point now,
                           std::vector<slot_grant>& grants) {
    const auto& request = waiting->second;
    auto& state = m_servers[server];
    m_running[request.ticket] = {server, request.cost.prompt};
    ++state.outstanding;
    state.last_grant = ++m_grants;
    state.reads_until =
        std::max(state.reads_until, now) + state.first_event.expect_reading(request.cost.prompt);
    grants.push_back({request.ticket, server});
    m_waiting.erase(request.ticket);
    queue.erase(waiting);
}

void slot_scheduler::grant_tier(tier_queue& queue, bool is_lowest, punctuality wanted, time_point now,
                                std::vector<slot_grant>& grants) {
    for (auto waiting = queue.begin(); waiting != queue.end();) {
        const auto next = std::next(waiting);
        const auto& request = waiting->second;
        if (!has_room(request.service, is_lowest, now)) {
            return;
        }
        const auto server = judge(request, now) == wanted ? choose(request, is_lowest, wanted, now) : 0;
        if (server != 0) {
            start(queue, waiting, server, now, grants);
        }
        waiting = next;
    }
}

void slot_scheduler::give_up_late(time_point now) {
    for (auto& [service, tiers] : m_queues) {
        for (auto& [tier, queue] : tiers) {
            while (!queue.empty()) {
                const auto& request = queue.begin()->second;
                const auto patience = from_seconds(to_seconds(request.target) * m_limits.patience);
                if (now - request.arrived < patience) {
                    break;
                }
                const auto spread = std::chrono::milliseconds(300 + request.ticket * 7919 % 700);
                m_refusals.push_back({request.ticket, refusal_reason::overloaded, spread});
                m_waiting.erase(request.ticket);
                queue.erase(queue.begin());
            }
        }
    }
}

std::vector<slot_refusal> slot_scheduler::take_refusals() {
    return std::exchange(m_refusals, {});
}

std::vector<slot_grant> slot_scheduler::grant(time_point now) {
    std::vector<slot_grant> grants;
    give_up_late(now);
    for (auto& [service, tiers] : m_queues) {
        for (auto& [tier, queue] : tiers) {
            const bool is_lowest = tiers.size() > 1 && tier == tiers.rbegin()->first;
            grant_tier(queue, is_lowest, punctuality::in_time, now, grants);
            grant_tier(queue, is_lowest, punctuality::late, now, grants);
        }
    }
    return grants;
}

} // namespace borageford::policy
