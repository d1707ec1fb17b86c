// Checks each slot request against the quarantine, the retry budget and the workspace's quota before it
// reaches slot_scheduler.
#include "coordination/slot_coordinator.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace borageford::coordination {

namespace {

using std::chrono::milliseconds;

/// Bounds of the wait that is suggested to callers whose workspace has used up its quota. The wait lasts
/// until the quota has enough units again, so that the caller isn't certain to be refused once more.
constexpr milliseconds min_quota_wait{200};
constexpr milliseconds max_quota_wait{5000};
/// The wait that is suggested to callers when the retry budget of a service is used up.
constexpr milliseconds retry_budget_wait{500};

/// The time in which a probe is answered, or crashes its server.
constexpr milliseconds probe_time{10000};
/// The wait that is suggested to the callers of further copies of a suspected request: until the first one
/// has been answered, or has crashed its server.
constexpr milliseconds copy_wait{1000};

policy::crash_suspect suspect_of(std::uint64_t fingerprint) {
    return {policy::suspect_kind::request, fingerprint};
}

} // namespace

slot_coordinator::slot_coordinator(policy::slot_scheduler_limits slots, policy::quota_limits quotas,
                                   policy::server_retry_limits retries, std::uint64_t source,
                                   policy::time_point started)
    : m_scheduler(slots), m_quotas(quotas), m_retry_budget(retries, source, started) {}

void slot_coordinator::set_shares(const shares& own, policy::time_point now) {
    m_scheduler.set_share(own.slots);
    m_quotas.set_share(own.quotas, now);
    m_retry_budget.set_share(own.retry_reserve);
}

void slot_coordinator::apply_items(policy::member_key member, const batch_items& items,
                                   policy::time_point now) {
    for (const auto& report : items.reports) {
        m_scheduler.adopt(report, now);
    }
    for (const auto& notice : items.backoffs) {
        m_scheduler.set_backoff(notice.server, member, notice.until, now);
    }
    for (const auto& hold : items.holds) {
        m_scheduler.add_running({hold.ticket, hold.server, hold.service, hold.tier, hold.cost}, now);
        m_requests[hold.ticket] = {member, 0, 0, 0, true};
    }
    for (const auto& told : items.promises) {
        m_scheduler.adopt(told, now);
    }
    for (const auto& request : items.asks) {
        handle_slot_request(member, request, now);
    }
    for (const auto ticket : items.withdrawals) {
        handle_withdrawal(ticket, now);
    }
    for (const auto& ended : items.releases) {
        handle_release(ended, now);
    }
}

void slot_coordinator::handle_slot_request(policy::member_key member, const policy::slot_request& request,
                                           policy::time_point now) {
    if (m_requests.contains(request.ticket)) {
        return;
    }
    if (const auto held = m_crashes.quarantine_left(suspect_of(request.fingerprint), now)) {
        refuse(member, {request.ticket, policy::refusal_reason::held_back, *held});
        return;
    }
    if (request.probed_part != 0 && !accepts_probe(request.probed_part, now)) {
        const policy::crash_suspect part{policy::suspect_kind::prompt_part, request.probed_part};
        const auto left = m_crashes.quarantine_left(part, now);
        refuse(member, {request.ticket, policy::refusal_reason::held_back, left.value_or(copy_wait)});
        return;
    }
    // The slot of a retried request's former attempt may not have been released yet.
    if (request.sends == 0 && must_wait_for_copy(request.fingerprint, now)) {
        refuse(member, {request.ticket, policy::refusal_reason::held_back, copy_wait});
        return;
    }
    if (request.sends == 0 && !request.is_counted) {
        m_retry_budget.count_request(request.service, now);
    }
    const bool is_retry = request.sends > 0;
    if (is_retry && !m_retry_budget.try_reserve(request.service, now)) {
        const auto used = m_retry_budget.current_use(request.service, now);
        refuse(member, {request.ticket, policy::refusal_reason::over_retry_budget, retry_budget_wait,
                        used.retries + 1, used.allowed});
        return;
    }
    const double units = request.is_charged ? 0 : request.units;
    const int rank = policy::rank_in_workspace(request.tier);
    if (units > 0 && !m_quotas.try_take(request.workspace, units, rank, now)) {
        const auto wait = std::clamp<policy::duration>(
            m_quotas.time_until(request.workspace, units, rank, now), min_quota_wait, max_quota_wait);
        if (is_retry) {
            m_retry_budget.cancel_reserved(request.service);
        }
        refuse(member, {request.ticket, policy::refusal_reason::over_allowance, wait, units,
                        m_quotas.available(request.workspace, units, rank, now)});
        return;
    }
    m_requests[request.ticket] = {member, request.workspace, units,   request.fingerprint,
                                  false,  request.service,   is_retry};
    auto known = request;
    known.member = member;
    known.may_repeat = request.may_repeat && m_retry_budget.is_ample(request.service, now);
    known.previous_refusals = m_refusal_history.refusals(request.fingerprint, now);
    m_scheduler.add(known, now);
}

void slot_coordinator::handle_withdrawal(policy::slot_ticket ticket, policy::time_point now) {
    if (!m_scheduler.withdraw(ticket)) {
        return; // the slot was granted meanwhile, and the member will release it
    }
    forget_waiting(ticket, now);
}

/// Gives back what a request that got no slot was charged.
void slot_coordinator::forget_waiting(policy::slot_ticket ticket, policy::time_point now) {
    const auto found = m_requests.find(ticket);
    if (found == m_requests.end()) {
        return;
    }
    const auto& request = found->second;
    m_quotas.refund(request.workspace, request.charged_units, now);
    if (request.has_reserved_retry) {
        m_retry_budget.cancel_reserved(request.service);
    }
    m_requests.erase(found);
}

void slot_coordinator::handle_release(const policy::slot_release& ended, policy::time_point now) {
    const auto found = m_requests.find(ended.ticket);
    if (found == m_requests.end() || !found->second.is_running) {
        return; // of a request that still waits: forgetting it here would leave it in the scheduler
    }
    m_scheduler.release(ended, now);
    if (policy::has_not_run(ended.outcome)) {
        m_quotas.refund(found->second.workspace, found->second.charged_units, now);
    }
    m_requests.erase(found);
}

bool slot_coordinator::accepts_probe(std::uint64_t part, policy::time_point now) {
    std::erase_if(m_probes, [now](const auto& entry) { return now - entry.second >= probe_time; });
    return m_accepts_probes && m_crashes.is_probe_due({policy::suspect_kind::prompt_part, part}, now) &&
           m_probes.try_emplace(part, now).second;
}

/// While a request is suspected, one copy of it runs at a time: if it does crash servers, its copies would
/// crash one each before the first of these crashes is known.
bool slot_coordinator::must_wait_for_copy(std::uint64_t fingerprint, policy::time_point now) const {
    return m_crashes.marks(suspect_of(fingerprint), now) > 0 &&
           std::ranges::any_of(m_requests, [fingerprint](const auto& entry) {
               return entry.second.fingerprint == fingerprint;
           });
}

void slot_coordinator::refuse_suspects(policy::time_point now) {
    std::set<std::uint64_t> known; // fingerprints of which one copy runs, or may wait
    for (const auto& [ticket, request] : m_requests) {
        if (request.is_running) {
            known.insert(request.fingerprint);
        }
    }
    std::vector<policy::slot_ticket> tickets;
    for (const auto& [ticket, request] : m_requests) {
        const auto suspect = suspect_of(request.fingerprint);
        if (m_crashes.marks(suspect, now) == 0) {
            continue;
        }
        const auto left = m_crashes.quarantine_left(suspect, now);
        const bool is_first = known.insert(request.fingerprint).second;
        if ((left.has_value() || !is_first) && m_scheduler.withdraw(ticket)) {
            refuse(request.member, {ticket, policy::refusal_reason::held_back, left.value_or(copy_wait)});
            tickets.push_back(ticket);
        }
    }
    for (const auto ticket : tickets) {
        forget_waiting(ticket, now);
    }
}

void slot_coordinator::refuse(policy::member_key member, const policy::slot_refusal& refusal) {
    m_output[member].refusals.push_back(refusal);
}

void slot_coordinator::detach(policy::member_key member, policy::time_point now) {
    std::vector<policy::slot_ticket> tickets;
    for (const auto& [ticket, request] : m_requests) {
        if (request.member == member) {
            tickets.push_back(ticket);
        }
    }
    for (const auto ticket : tickets) {
        handle_withdrawal(ticket, now);
        if (m_requests.contains(ticket)) {
            m_scheduler.release({ticket, 0, policy::slot_outcome::abandoned, {}, {}}, now);
            m_requests.erase(ticket);
        }
    }
    m_output.erase(member);
}

std::map<policy::member_key, batch_items> slot_coordinator::decide(policy::time_point now) {
    for (const auto& grant : m_scheduler.grant(now)) {
        auto& request = m_requests.at(grant.ticket);
        request.is_running = true;
        if (std::exchange(request.has_reserved_retry, false)) {
            m_retry_budget.record_reserved(request.service, now);
        }
        m_refusal_history.forget(request.fingerprint);
        m_output[request.member].grants.push_back(grant);
    }
    for (const auto& refusal : m_scheduler.take_refusals()) {
        const auto& request = m_requests.at(refusal.ticket);
        m_refusal_history.record_refused(request.fingerprint, now);
        m_output[request.member].refusals.push_back(refusal);
        forget_waiting(refusal.ticket, now);
    }
    return std::exchange(m_output, {});
}

} // namespace borageford::coordination
