// Implements the admission of requests to slot_scheduler: who waits in which queue, who is refused, and when
// a refused caller should come back.
#include "policy/random_sequence.hpp"
#include "policy/slot_scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace borageford::policy {

namespace {

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

/// Expected seconds until `waiting` queued requests have got slots at a rate of `per_second` grants.
double expect_wait(std::size_t waiting, double per_second) {
    if (waiting < min_queue_for_estimate) {
        return 0;
    }
    return static_cast<double>(waiting) / std::max(per_second, min_grant_rate);
}

} // namespace

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
    const bool may_promise = m_limits.promises_returns && m_limits.promised_part > 0;
    if (may_promise && !request.waits_for_memory) {
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

/// A request whose expected wait is too long is refused at once, since its caller would lose the time until a
/// later refusal. With `promises_returns`, it joins the late requests if slots are expected for them.
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

void slot_scheduler::refuse_overdue(time_point now) {
    for (const auto& request : m_queues.take_overdue(now)) {
        refuse(request, {to_seconds(now - request.arrived), to_seconds(max_wait_of(request))}, now);
    }
}

std::vector<slot_refusal> slot_scheduler::take_refusals() {
    return std::exchange(m_refusals, {});
}

} // namespace borageford::policy
