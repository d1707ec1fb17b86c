// Counts in slices of the window instead of single events, which bounds the cost of each decision.
#include "policy/server_retry_budget.hpp"

namespace borageford::policy {

namespace {

constexpr int slices_per_window = 20;
/// Fraction of the limit that is used. The limit applies to requests and retries where they arrive, while
/// this class counts them when they are sent, and a new coordinator doesn't know the retries of its
/// predecessor.
constexpr double used_fraction = 0.6;

} // namespace

void server_retry_budget::forget_old(history& of, time_point now) const {
    const auto slice_length = m_limits.window / slices_per_window;
    while (!of.slices.empty() && now - of.slices.front().begin > m_limits.window + slice_length) {
        of.slices.pop_front();
    }
}

server_retry_budget::slice& server_retry_budget::current(history& of, time_point now) const {
    const auto slice_length = m_limits.window / slices_per_window;
    if (of.slices.empty() || now - of.slices.back().begin >= slice_length) {
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
    double retries = 0;
    for (const auto& part : of.slices) {
        requests += part.requests;
        retries += part.retries;
    }
    return {retries, (m_limits.ratio * requests + m_limits.reserve * m_share) * used_fraction};
}

bool server_retry_budget::try_acquire(service_key service, time_point now) {
    const auto used = current_use(service, now);
    auto& of = m_services[service];
    const bool is_allowed = used.retries + 1 <= used.allowed;
    if (!is_allowed && !of.is_used_up) {
        m_used_up.push_back(service);
    }
    of.is_used_up = !is_allowed;
    if (is_allowed) {
        ++current(of, now).retries;
    }
    return is_allowed;
}

std::vector<service_key> server_retry_budget::services() const {
    std::vector<service_key> result;
    result.reserve(m_services.size());
    for (const auto& [service, of] : m_services) {
        result.push_back(service);
    }
    return result;
}

} // namespace borageford::policy
