// Counts in slices of the window instead of single events, which bounds the cost of each decision.
#include "policy/server_retry_budget.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <ranges>

namespace borageford::policy {

namespace {

constexpr int slices_per_window = 20;
/// Fraction of the limit that is used. The limit applies to requests and retries where they arrive, while
/// this class counts them when they are sent, and what a process granted just before it was lost is known to
/// nobody.
constexpr double used_fraction = 0.6;
/// While less than this fraction of the budget is used, requests may be placed where they are more likely to
/// need a retry; the rest is for those that need one anyway.
constexpr double ample_fraction = 0.85;
/// Uses in one statement, which leave room for other items in its datagram.
constexpr std::size_t max_stated_uses = 24;

} // namespace

server_retry_budget::server_retry_budget(server_retry_limits limits, std::uint64_t source, time_point started)
    : m_limits(limits),
      m_source(source),
      m_others(limits.window + limits.window / slices_per_window),
      m_knowledge(started) {}

duration server_retry_budget::slice_length() const {
    return m_limits.window / slices_per_window;
}

void server_retry_budget::forget_old(history& of, time_point now) const {
    while (!of.slices.empty() && now - of.slices.front().begin > m_limits.window + slice_length()) {
        of.slices.pop_front();
    }
}

server_retry_budget::slice& server_retry_budget::current(history& of, time_point now) const {
    if (of.slices.empty() || now - of.slices.back().begin >= slice_length()) {
        of.slices.push_back({now, 0, 0});
    }
    return of.slices.back();
}

void server_retry_budget::count_request(service_key service, time_point now) {
    auto& of = m_services[service];
    forget_old(of, now);
    ++current(of, now).requests;
}

server_retry_budget::use server_retry_budget::current_use(service_key service, time_point now) {
    auto& of = m_services[service];
    forget_old(of, now);
    double requests = 0;
    double retries = of.reserved;
    for (const auto& part : of.slices) {
        requests += part.requests;
        retries += part.retries;
    }
    const double by_others = m_others.total(service, now);
    const bool knows_all = m_knowledge.covers(m_limits.window, now);
    const double left = knows_all ? std::max(0.0, m_limits.reserve * used_fraction - by_others) : 0;
    return {retries, m_limits.ratio * used_fraction * requests + left * m_share, by_others};
}

bool server_retry_budget::is_ample(service_key service, time_point now) {
    const auto used = current_use(service, now);
    return used.retries < used.allowed * ample_fraction;
}

bool server_retry_budget::try_reserve(service_key service, time_point now) {
    const auto used = current_use(service, now);
    auto& of = m_services[service];
    const bool is_allowed = used.retries + 1 <= used.allowed;
    if (!is_allowed && now - of.used_up >= m_limits.window) {
        m_used_up.push_back(service);
        of.used_up = now;
    }
    of.reserved += is_allowed ? 1 : 0;
    return is_allowed;
}

void server_retry_budget::record_reserved(service_key service, time_point now) {
    auto& of = m_services[service];
    --of.reserved;
    ++current(of, now).retries;
    of.last_retry = now;
    m_last_retry = now;
}

void server_retry_budget::cancel_reserved(service_key service) {
    --m_services[service].reserved;
}

std::vector<service_key> server_retry_budget::services() const {
    std::vector<service_key> result;
    result.reserve(m_services.size());
    for (const auto& [service, of] : m_services) {
        result.push_back(service);
    }
    return result;
}

/// What later windows lack of the reserve because of this process. They contain the end of its history, from
/// a time on that depends on the window; what counts is the part that has used most.
double server_retry_budget::reserve_used(const history& of) const {
    double result = 0;
    double used = 0;
    for (const auto& part : of.slices | std::views::reverse) {
        used += part.retries - m_limits.ratio * used_fraction * part.requests;
        result = std::max(result, used);
    }
    return result;
}

void server_retry_budget::merge(const retry_statement& stated, time_point now) {
    for (const auto& use : stated.uses) {
        if (use.source != m_source) {
            m_others.merge(use, now);
        }
    }
    m_knowledge.learn(stated.known_for, now);
}

retry_statement server_retry_budget::statement(time_point now) {
    retry_statement result{m_others.list(now), m_knowledge.known_for(now)};
    ++m_revision;
    for (auto& [service, of] : m_services) {
        forget_old(of, now);
        const double retries = reserve_used(of);
        if (retries > 0) {
            result.uses.push_back({m_source, service, m_revision, retries, of.last_retry});
        }
    }
    if (result.uses.size() > max_stated_uses) {
        std::ranges::sort(result.uses, std::ranges::greater{}, &retry_use::retries);
        result.uses.resize(max_stated_uses);
        result.known_for = duration::zero();
    }
    return result;
}

} // namespace borageford::policy
