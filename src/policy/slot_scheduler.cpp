// Implements slot_scheduler: its queues, the limits on a server's outstanding requests, and the granting of
// slots.
#include "policy/slot_scheduler.hpp"

#include "policy/random_sequence.hpp"
#include "policy/server_capacity.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace borageford::policy {

namespace {

/// Part of its target that a request waits for a server that is fast enough for it. After that it is moved to
/// the queue of late requests, where any server will do.
constexpr double wait_for_fast_server = 0.4;

/// Part of its target that a request waits before its tier is granted its guaranteed minimum share. Without
/// overload no request waits this long, and the order of tiers is strict.
constexpr double wait_before_minimum_share = 0.1;

/// Minimum length of a queue for estimating the wait in it; the wait in a shorter queue counts as 0.
constexpr std::size_t min_queue_for_estimate = 8;
/// Lower bound of the assumed rate of grants per second, because a queue without recent grants may get some
/// soon.
constexpr double min_grant_rate = 2;
constexpr std::size_t draw_steps = 1000; ///< resolution of the random numbers for the retry delay

/// Retry-After if the rate limits leave no part to this process. Another one, or a coordinator, may have one
/// soon.
constexpr std::chrono::milliseconds no_part_retry{1000};
/// Retry-After if no server of the software version that began a stream is left. One that couldn't renew its
/// registration registers again within about this time.
constexpr std::chrono::milliseconds software_gone_retry{1000};
/// Bounds of the Retry-After of requests that are refused because of the servers' rate limits.
constexpr std::chrono::milliseconds min_rate_limit_retry{200};
constexpr std::chrono::milliseconds max_rate_limit_retry{5000};
/// Part of this time by which it is lengthened at random.
constexpr double rate_limit_retry_spread = 0.5;

/// A number from 0 to 1 for the retry delay of a refused request. Seeded with the ticket, it differs between
/// requests, so that they don't return together, but is the same whenever a run is repeated.
double draw_for(slot_ticket ticket) {
    return static_cast<double>(random_sequence(ticket).below(draw_steps)) / draw_steps;
}

/// Servers with enough memory are searched for at most this many requests in one call of grant(). The others
/// get their turn in the next one.
constexpr std::size_t max_memory_searches = 16;
/// A request that a server has turned away took at least this long. One whose slot was given back unused, for
/// instance because its caller had left, took less.
constexpr std::chrono::milliseconds min_refusal_time{1};

/// Expected seconds until `waiting` queued requests have got slots at a rate of `per_second` grants.
double expect_wait(std::size_t waiting, double per_second) {
    if (waiting < min_queue_for_estimate) {
        return 0;
    }
    return static_cast<double>(waiting) / std::max(per_second, min_grant_rate);
}

} // namespace

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

duration slot_scheduler::max_wait_of(const slot_request& request) const {
    const double of_new =
        request.previous_refusals > 0 ? m_limits.max_wait_of_retry_in_targets : m_limits.max_wait_in_targets;
    const double times = request.is_promised ? m_limits.max_wait_of_promised_in_targets : of_new;
    return from_seconds(to_seconds(request.target) * times);
}

void slot_scheduler::refuse(const slot_request& request, wait_comparison why, time_point now) {
    auto& overload = m_queues.tier_of(request).overload;
    overload.record_refusal(now);
    const auto [reason, retry_after] = plan_return(request, now);
    m_refusals.push_back({request.ticket, reason, retry_after, why.needed_seconds, why.available_seconds});
}

return_planner::plan slot_scheduler::plan_return(const slot_request& request, time_point now) {
    const double draw = draw_for(request.ticket);
    if (m_limits.promises_returns && !request.waits_for_memory) {
        m_returns.counts().broken += request.is_promised ? 1 : 0;
        if (const auto planned =
                m_returns.plan_return(request, room_for(request, now), m_slot_times, draw, now)) {
            return *planned;
        }
    }
    const auto& overload = m_queues.tier_of(request).overload;
    const auto reason = request.waits_for_memory ? refusal_reason::over_memory : refusal_reason::overloaded;
    return {reason, overload.retry_after(request.deadline - now, draw, now)};
}

tier_room slot_scheduler::room_for(const slot_request& request, time_point now) const {
    double slots = 0;
    for (const auto* server : m_pools.servers_of(request.service)) {
        const bool is_available = server->health.availability_at(now) == server_health::availability::full;
        slots += is_available && server->fits(request) ? server->slots : 0;
    }
    return {slots * m_limits.outstanding_per_slot * m_limits.share, m_limits.floor.share,
            m_limits.promised_part};
}

void slot_scheduler::adopt(const return_promise& told, time_point now) {
    m_returns.ledger().adopt(told, m_slot_times.expect(told.service, told.tier), now);
}

/// Refuses the request if the rate limits of all servers of its service keep it from getting a slot within
/// its maximum wait. Its caller learns at once when to come back, instead of waiting in vain.
bool slot_scheduler::refuse_for_rate_limits(const slot_request& request, time_point now) {
    const auto of_service = m_pools.servers_of(request.service);
    if (std::ranges::any_of(of_service, [&](const auto* server) {
            return server->fits(request) && !server->is_rate_blocked;
        })) {
        return false;
    }
    server_pools::server_list servers;
    std::ranges::copy_if(of_service, std::back_inserter(servers),
                         [&](const auto* server) { return server->fits(request); });
    if (!are_all_rate_blocked(servers)) {
        return false;
    }
    const auto wait = expect_rate_wait(servers, m_queues.count_ahead(request), now);
    const auto left = request.arrived + max_wait_of(request) - now;
    if (wait <= left) {
        return false;
    }
    const auto retry_after = wait == duration::max()
                                 ? no_part_retry
                                 : std::clamp<duration>(wait, min_rate_limit_retry, max_rate_limit_retry);
    m_refusals.push_back(
        {request.ticket, refusal_reason::over_server_limit,
         from_seconds(to_seconds(retry_after) * (1 + draw_for(request.ticket) * rate_limit_retry_spread)),
         to_seconds(wait), to_seconds(left)});
    return true;
}

/// Refuses the request if all servers of its service want no requests of its gateway until after its maximum
/// wait. Its caller learns at once when to come back.
bool slot_scheduler::refuse_for_backoffs(const slot_request& request, time_point now) {
    const auto servers = m_pools.servers_of(request.service);
    auto earliest = time_point::max();
    for (const auto* server : servers) {
        if (!server->fits(request)) {
            continue;
        }
        const auto end = server->backoff.end_of(request.member, now);
        if (!end.has_value()) {
            return false;
        }
        earliest = std::min(earliest, *end);
    }
    const auto limit = request.arrived + max_wait_of(request);
    if (earliest == time_point::max() || earliest <= limit) {
        return false;
    }
    m_refusals.push_back({request.ticket, refusal_reason::servers_back_off, earliest - now,
                          to_seconds(earliest - now), to_seconds(limit - now)});
    return true;
}

/// Refuses a request that resumes a stream if no server of the software version that began the stream is
/// left.
bool slot_scheduler::refuse_for_software(const slot_request& request) {
    const auto servers = m_pools.servers_of(request.service);
    if (request.software == 0 ||
        std::ranges::any_of(servers, [&](const auto* server) { return server->fits(request); })) {
        return false;
    }
    m_refusals.push_back({request.ticket, refusal_reason::software_gone, software_gone_retry});
    return true;
}

/// Refuses the waiting requests whose servers have all gone or want none of them. The callers learn at once
/// that waiting is useless.
void slot_scheduler::refuse_waiting_in_vain(time_point now) {
    if (!std::exchange(m_has_fewer_servers, false)) {
        return;
    }
    std::vector<slot_ticket> refused;
    m_queues.for_each([&](const slot_request& request) {
        if (refuse_for_software(request) || refuse_for_backoffs(request, now)) {
            refused.push_back(request.ticket);
        }
    });
    for (const auto ticket : refused) {
        m_queues.remove(ticket);
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

void slot_scheduler::add(const slot_request& request, time_point now) {
    if (refuse_for_software(request) || refuse_for_backoffs(request, now) ||
        refuse_for_rate_limits(request, now)) {
        return;
    }
    record_arrival(reserve_of(request.service), request.tier, request.target, now);
    if (m_limits.promises_returns && request.previous_refusals == 0 && request.sends == 0) {
        m_returns.record_arrival(request, now);
    }
    if (enqueue_promised(request, now)) {
        return;
    }
    if (classify(request, now) == target_state::late) {
        enqueue_late(request, now);
    } else {
        enqueue_in_time(request, now);
    }
    if (m_queues.contains(request.ticket)) {
        m_queues.set_wait_limit(request.ticket, request.arrived + max_wait_of(request));
    }
}

/// Queues a request whose caller came back as it was promised before the new ones of its tier. Returns
/// whether it is one.
bool slot_scheduler::enqueue_promised(const slot_request& request, time_point now) {
    if (!m_limits.promises_returns || !m_returns.ledger().redeem(request, now)) {
        return false;
    }
    auto promised = request;
    promised.is_promised = true;
    m_queues.insert(promised, target_state::promised);
    m_queues.set_wait_limit(promised.ticket, promised.arrived + max_wait_of(promised));
    return true;
}

/// Refuses the request at once if its expected wait is too long. It would otherwise be refused later, and its
/// caller would have lost the time until then.
void slot_scheduler::enqueue_in_time(const slot_request& request, time_point now) {
    auto& queue = m_queues.tier_of(request).in_time;
    const double max_wait = to_seconds(request.target) * m_limits.max_expected_wait_in_targets;
    const double expected = expect_wait(queue.requests.size(), queue.grants.per_second(now));
    if (expected <= max_wait) {
        m_queues.insert(request, target_state::in_time);
    } else if (m_limits.promises_returns) {
        enqueue_late(request, now);
    } else {
        refuse(request, {expected, max_wait}, now);
    }
}

/// Late requests only get the slots that the other requests of the tier leave. Under sustained load there are
/// none, and each late request would wait for its maximum time just to be refused. So only as many are queued
/// as are expected to get a slot within that time.
void slot_scheduler::enqueue_late(const slot_request& request, time_point now) {
    auto& queue = m_queues.tier_of(request).late;
    const double left = to_seconds(request.arrived + max_wait_of(request) - now);
    const double per_second = std::max(queue.grants.per_second(now), spare_slots_per_second(request, now));
    const double expected = expect_wait(queue.requests.size(), per_second);
    if (expected > left) {
        refuse(request, {expected, left}, now);
        return;
    }
    m_queues.insert(request, target_state::late);
}

/// How many late requests of the tier are expected to get slots in a second; 0 if that isn't known.
double slot_scheduler::spare_slots_per_second(const slot_request& request, time_point now) const {
    const double slot_seconds = to_seconds(expect_slot_time(request.service, request.tier));
    if (!m_limits.promises_returns || slot_seconds <= 0) {
        return 0;
    }
    return m_returns.spare_slots(request, room_for(request, now), m_slot_times, now) / slot_seconds;
}

void slot_scheduler::move_late_requests(tier_queues& tier, time_point now) {
    auto& requests = tier.in_time.requests;
    while (!requests.empty() && classify(requests.begin()->second, now) == target_state::late) {
        enqueue_late(m_queues.take(tier.in_time, requests.begin()), now);
    }
}

bool slot_scheduler::withdraw(slot_ticket ticket) {
    if (m_queues.remove(ticket)) {
        return true;
    }
    // The request may have a refusal that wasn't taken yet. The caller has left, so the refusal is dropped.
    return std::erase_if(m_refusals, [ticket](const auto& refusal) { return refusal.ticket == ticket; }) > 0;
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

/// A late request only gets a free slot and never
/// a place in the server's own queue, since a request in that queue can't be overtaken: requests that could
/// still meet their target would have to wait behind the late one.
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

void slot_scheduler::refuse_overdue(time_point now) {
    for (const auto& request : m_queues.take_overdue(now)) {
        refuse(request, {to_seconds(now - request.arrived), to_seconds(max_wait_of(request))}, now);
    }
}

std::vector<slot_refusal> slot_scheduler::take_refusals() {
    return std::exchange(m_refusals, {});
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

// The memory of engines.

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
