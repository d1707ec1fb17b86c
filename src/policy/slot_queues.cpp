// Finds waiting requests by ticket, and those that have waited too long.
#include "policy/slot_queues.hpp"

#include <utility>

namespace borageford::policy {

void slot_queues::insert(const slot_request& request, target_state state) {
    const queue_key key{request.arrived, request.ticket};
    auto& queue = tier_of(request).of(state);
    queue.requests.emplace(key, request);
    queue.resumes += request.software != 0 ? 1 : 0;
    m_locations[request.ticket] = {request.service, request.tier, state, key};
}

std::optional<slot_request> slot_queues::remove(slot_ticket ticket) {
    const auto found = m_locations.find(ticket);
    if (found == m_locations.end()) {
        return std::nullopt;
    }
    const auto [service, tier, state, key] = found->second;
    m_locations.erase(found);
    auto& queue = m_services[service][tier].of(state);
    const auto waiting = queue.requests.find(key);
    if (waiting == queue.requests.end()) {
        return std::nullopt;
    }
    return take(queue, waiting);
}

slot_request slot_queues::take(request_queue& queue, request_queue::position waiting) {
    auto request = std::move(waiting->second);
    m_locations.erase(request.ticket);
    queue.requests.erase(waiting);
    queue.resumes -= request.software != 0 ? 1 : 0;
    return request;
}

std::size_t slot_queues::count_ahead(const slot_request& request) const {
    const auto queues = m_services.find(request.service);
    if (queues == m_services.end()) {
        return 0;
    }
    std::size_t ahead = 0;
    for (const auto& [tier_number, tier] : queues->second) {
        if (tier_number <= request.tier) {
            ahead += tier.size();
        }
    }
    return ahead;
}

void slot_queues::set_wait_limit(slot_ticket ticket, time_point limit) {
    m_wait_limits.emplace(limit, ticket);
}

std::vector<slot_request> slot_queues::take_overdue(time_point now) {
    std::vector<slot_request> result;
    while (!m_wait_limits.empty() && m_wait_limits.begin()->first <= now) {
        if (auto overdue = remove(m_wait_limits.begin()->second)) {
            result.push_back(std::move(*overdue));
        }
        m_wait_limits.erase(m_wait_limits.begin());
    }
    return result;
}

} // namespace borageford::policy
