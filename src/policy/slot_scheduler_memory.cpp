// Implements what slot_scheduler does about the memory of engines.
#include "policy/server_capacity.hpp"
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

/// Servers with enough memory are searched for at most this many requests in one call of grant(). The others
/// get their turn in the next one.
constexpr std::size_t max_memory_searches = 16;
/// A request that a server has turned away took at least this long. One whose slot was given back unused, for
/// instance because its caller had left, took less.
constexpr std::chrono::milliseconds min_refusal_time{1};

} // namespace

void slot_scheduler::set_engine_memory(service_key service, double tokens) {
    m_memory.set_capacity(service, tokens);
    update_memory_limits();
}

void slot_scheduler::update_memory_limit(slot_server& server) {
    server.memory.set_limit(m_memory.limit(server.service, m_limits.share, count_places(m_limits, server)));
}

void slot_scheduler::update_memory_limits() {
    for (auto& [key, server] : m_servers) {
        update_memory_limit(server);
    }
}

slot_server* slot_scheduler::choose_by_memory(slot_request& request, const slot_choice_terms& choice,
                                              const grant_terms& terms) {
    const auto fits = [&](const slot_server& server) {
        return server.memory.fits(choice.memory, request.ticket);
    };
    if (std::ranges::all_of(choice.available, [&](const auto* server) { return fits(*server); })) {
        return nullptr;
    }
    m_memory_waits[request.service] += std::exchange(request.waits_for_memory, true) ? 0 : 1;
    if (m_memory_searches >= max_memory_searches) {
        return nullptr;
    }
    ++m_memory_searches;
    const auto fitting =
        m_pools.find(request.service, max_considered_servers, [&](const slot_server& server) {
            return fits(server) && server.fits(request) && can_take_request(server, terms, choice.now);
        });
    auto with_memory = choice;
    with_memory.available = fitting;
    auto* server = choose_server(request, with_memory);
    if (server == nullptr) {
        keep_room(request, choice);
    }
    return server;
}

void slot_scheduler::keep_room(const slot_request& request, const slot_choice_terms& choice) {
    if (!m_kept_rooms.is_due(request, choice.now)) {
        return;
    }
    if (auto* server = kept_rooms::choose(request, choice.memory, choice.all, choice.now)) {
        server->memory.keep_room(request.ticket, choice.memory);
        m_kept_rooms.add({request.service, request.ticket, server->key});
    }
}

/// Keeps no more room for requests that no longer wait, and none at servers that take no work.
void slot_scheduler::drop_kept_rooms(time_point now) {
    m_memory_searches = 0;
    if (m_memory.recover(now)) {
        update_memory_limits();
    }
    const auto takes_work = [&](server_key key) {
        const auto found = m_servers.find(key);
        return found != m_servers.end() && found->second.is_usable &&
               found->second.health.availability_at(now) != server_health::availability::none;
    };
    const auto has_ended = [&](const kept_rooms::room& kept) {
        return !m_queues.contains(kept.ticket) || !takes_work(kept.server);
    };
    for (const auto& kept : m_kept_rooms.take_ended(has_ended)) {
        const auto found = m_servers.find(kept.server);
        if (found != m_servers.end()) {
            found->second.memory.stop_keeping_room();
        }
    }
}

/// A crash, or a request that is turned away with slots free, may mean that the server's memory is smaller
/// than it was said to be. To be called before the request's tokens are released.
void slot_scheduler::learn_memory(slot_server& server, const running_request& request,
                                  const slot_release& ended, time_point now) {
    if (ended.outcome == slot_outcome::served) {
        server.memory.record_served();
        m_memory.learn_output(request.service, request.output, ended.output);
        return;
    }
    const bool is_turned_away = ended.outcome == slot_outcome::refused && ended.busy >= min_refusal_time &&
                                server.outstanding <= server.slots;
    if (ended.outcome != slot_outcome::broken && !is_turned_away) {
        return;
    }
    const auto held = server.memory.record_loss(server.outstanding, now);
    if (held.has_value() && m_memory.learn_overflow(request.service, *held, now)) {
        update_memory_limits();
        m_memory_overflows.push_back(
            {server.key, request.service, *held,
             m_memory.limit(request.service, m_limits.share, count_places(m_limits, server))});
    }
}

std::vector<slot_scheduler::memory_overflow> slot_scheduler::take_memory_overflows() {
    return std::exchange(m_memory_overflows, {});
}

std::vector<slot_scheduler::memory_use> slot_scheduler::measure_memory() const {
    std::unordered_map<service_key, memory_use> uses;
    for (const auto& [key, server] : m_servers) {
        if (server.memory.is_limited()) {
            auto& use = uses[server.service];
            use.reserved += server.memory.reserved();
            use.free += server.memory.free();
        }
    }
    std::vector<memory_use> result;
    for (auto& [service, use] : uses) {
        const auto waits = m_memory_waits.find(service);
        use.service = service;
        use.waits = waits == m_memory_waits.end() ? 0 : waits->second;
        result.push_back(use);
    }
    return result;
}

} // namespace borageford::policy
