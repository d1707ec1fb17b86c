// Implements the grants of slot_scheduler: which waiting request gets a slot of which server.
#include "policy/server_capacity.hpp"
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <utility>

namespace borageford::policy {

namespace {

/// Part of its target that a request waits for a server that is fast enough for it. After that it is moved to
/// the queue of late requests, where any server will do.
constexpr double wait_for_fast_server = 0.4;

/// Part of its target that a request waits before its tier is granted its guaranteed minimum share. Without
/// overload no request waits this long, and the order of tiers is strict.
constexpr double wait_before_minimum_share = 0.1;

} // namespace

std::vector<tier_occupancy> slot_scheduler::list_occupancies(service_key service) {
    std::vector<tier_occupancy> result;
    floor_of(service).for_each_running([&](int tier, std::size_t running) {
        result.push_back({tier, static_cast<double>(running), m_slot_times.expect(service, tier)});
    });
    return result;
}

std::size_t slot_scheduler::count_unreserved(service_key service, int tier, const grant_terms& terms,
                                             std::size_t max_count, time_point now) {
    const auto& reserve = reserve_of(service);
    if (max_count == 0 || std::holds_alternative<fixed_reserve>(reserve)) {
        return max_count;
    }
    const auto kept = slots_kept_from(reserve, tier, list_occupancies(service), now);
    if (terms.is_lowest) {
        m_kept_from_lowest[service] = kept;
    }
    if (kept <= 0) {
        return max_count;
    }
    const auto needed = kept + static_cast<double>(max_count);
    double room = 0;
    for (const auto* server : m_pools.with_room(service)) {
        if (can_take_request(*server, terms, now)) {
            room += std::floor(available_slots(m_limits, *server, terms.is_lowest, now));
        }
        if (room >= needed) {
            return max_count;
        }
    }
    return room > kept ? static_cast<std::size_t>(room - kept) : 0;
}

double slot_scheduler::reserved_slots() const {
    double result = 0;
    for (const auto& [service, kept] : m_kept_from_lowest) {
        result += kept;
    }
    return result;
}

/// A late request only gets a free slot and never a place in the server's own queue, since a request in that
/// queue can't be overtaken: requests that could still meet their target would have to wait behind the late
/// one.
bool slot_scheduler::can_take_request(const slot_server& server, const grant_terms& terms,
                                      time_point now) const {
    const bool can_use_slot = terms.state != target_state::late || server.has_free_slot(m_limits.share);
    return can_use_slot && !server.is_rate_blocked &&
           available_slots(m_limits, server, terms.is_lowest, now) >= 1;
}

server_pools::server_list slot_scheduler::find_available(const slot_request& request,
                                                         const grant_terms& terms, time_point now) {
    const auto is_suitable = [&](const slot_server& server) {
        return server.fits(request) && can_take_request(server, terms, now);
    };
    return m_pools.find(request.service, max_considered_servers, is_suitable);
}

/// A request is late if no server, busy or not, could still send its first event in time. It also counts as
/// late after it has waited for some time although a fast enough server exists: under sustained load, the
/// fast servers may never have a free slot for it. A retried request (slot_request::previous_refusals) always
/// counts as late.
target_state slot_scheduler::classify(const slot_request& request, time_point now) const {
    const auto waited = now - request.arrived;
    if (request.previous_refusals > 0 ||
        waited > from_seconds(to_seconds(request.target) * wait_for_fast_server)) {
        return target_state::late;
    }
    return can_meet_target(request, m_pools.servers_of(request.service), now) ? target_state::in_time
                                                                              : target_state::late;
}

void slot_scheduler::start(request_queue& queue, request_queue::position waiting, slot_server& server,
                           time_point now, std::vector<slot_grant>& grants) {
    const auto request = m_queues.take(queue, waiting);
    m_returns.record_grant(request, now);
    const auto mark =
        server.prompts_ahead.add(server.first_event.expect_prompt_processing(request.cost.prompt), now);
    const double memory = m_memory.expect(request.service, request.cost);
    m_running[request.ticket] = {server.key, request.service,     request.tier, request.cost.prompt,
                                 mark,       request.cost.output, memory};
    server.memory.reserve(memory);
    floor_of(request.service).begin(request.tier, now);
    ++server.outstanding;
    m_rate_limits.take(server, now);
    update_with_room(server);
    server.last_grant = ++m_grants;
    queue.grants.record(now);
    grants.push_back({request.ticket, server.key});
}

void slot_scheduler::grant_from_queue(service_key service, tier_queues& tier, grant_terms terms,
                                      time_point now, std::vector<slot_grant>& grants) {
    auto& queue = tier.of(terms.state);
    if (queue.requests.empty()) {
        return;
    }
    const auto enough = grants.size() + std::min(terms.max_grants, queue.requests.size());
    const auto all = m_pools.servers_of(service);
    const bool is_in_time = terms.state == target_state::in_time;
    slot_request any_request;
    any_request.service = service;
    auto available = find_available(any_request, terms, now);
    // A request that resumes a stream may find room where new ones may not go.
    for (auto waiting = queue.requests.begin(); waiting != queue.requests.end() &&
                                                (!available.empty() || queue.resumes > 0) &&
                                                grants.size() < enough;) {
        const auto next = std::next(waiting);
        const bool is_resume = waiting->second.software != 0;
        const auto of_version =
            is_resume ? find_available(waiting->second, terms, now) : server_pools::server_list();
        const slot_choice_terms choice{is_resume ? of_version : available,
                                       all,
                                       is_in_time,
                                       now,
                                       m_memory.expect(service, waiting->second.cost),
                                       m_limits.avoids_failing_servers,
                                       terms.is_lowest};
        auto* server = choose_server(waiting->second, choice);
        if (server == nullptr && m_memory.is_limited(service)) {
            server = choose_by_memory(waiting->second, choice, terms);
        }
        if (server != nullptr) {
            start(queue, waiting, *server, now, grants);
            if (!can_take_request(*server, terms, now)) {
                std::erase(available, server);
            }
            if (available.empty()) {
                available = find_available(any_request, terms, now);
            }
        }
        waiting = next;
    }
}

bool slot_scheduler::needs_minimum_share(const tier_queues& tier, time_point now) {
    if (!tier.promised.requests.empty()) {
        return true;
    }
    return std::ranges::any_of(std::array{&tier.in_time.requests, &tier.late.requests},
                               [now](const auto* requests) {
                                   if (requests->empty()) {
                                       return false;
                                   }
                                   const auto& oldest = requests->begin()->second;
                                   return now - oldest.arrived >=
                                          from_seconds(to_seconds(oldest.target) * wait_before_minimum_share);
                               });
}

/// Grants slots to tiers that recently got less than their guaranteed minimum share, the tier with the
/// smallest share first.
void slot_scheduler::grant_minimum_shares(service_key service, slot_queues::service_queues& tiers,
                                          time_point now, std::vector<slot_grant>& grants) {
    auto& floor = floor_of(service);
    std::vector<int> tier_numbers;
    for (const auto& [tier_number, tier] : tiers) {
        if (tier_number != tiers.begin()->first && needs_minimum_share(tier, now)) {
            tier_numbers.push_back(tier_number);
        }
    }
    std::ranges::sort(tier_numbers, {}, [&](int tier_number) { return floor.share(tier_number, now); });
    for (const auto tier_number : tier_numbers) {
        for (const auto state : {target_state::promised, target_state::in_time, target_state::late}) {
            const auto missing = floor.slots_below_minimum(tier_number, tier_numbers.size(), now);
            if (missing > 0) {
                grant_from_queue(service, tiers.at(tier_number), {state, false, missing}, now, grants);
            }
        }
    }
}

std::vector<slot_grant> slot_scheduler::grant(time_point now) {
    std::vector<slot_grant> grants;
    examine_rate_limits(now);
    refuse_waiting_in_vain(now);
    refuse_overdue(now);
    drop_kept_rooms(now);
    for (auto& [service, tiers] : m_queues.services()) {
        for (auto& [tier_number, tier] : tiers) {
            move_late_requests(tier, now);
        }
        grant_minimum_shares(service, tiers, now, grants);
        for (auto& [tier_number, tier] : tiers) {
            const bool is_lowest = tiers.size() > 1 && tier_number == tiers.rbegin()->first;
            for (const auto state : {target_state::promised, target_state::in_time, target_state::late}) {
                grant_terms terms{state, is_lowest};
                terms.max_grants =
                    count_unreserved(service, tier_number, terms, tier.of(state).requests.size(), now);
                grant_from_queue(service, tier, terms, now, grants);
            }
        }
    }
    return grants;
}

} // namespace borageford::policy
