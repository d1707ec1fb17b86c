// Keeps the waiting requests and the occupied slots of this process in two tables, by the id of the slot
// request.
#include "coordination/local_requests.hpp"

#include <utility>

namespace borageford::coordination {

void local_requests::add(const policy::slot_request& wanted, slot_callbacks callbacks) {
    auto& request = m_waiting[wanted.ticket];
    request = {wanted, std::move(callbacks)};
    // Its first slot request is sent before it is listed to another process.
    request.request.is_counted = true;
}

bool local_requests::withdraw(policy::slot_ticket ticket) {
    return m_waiting.erase(ticket) > 0;
}

std::optional<slot_hold> local_requests::release(policy::slot_ticket ticket) {
    const auto held = m_running.extract(ticket);
    if (held.empty()) {
        return std::nullopt;
    }
    return held.mapped();
}

bool local_requests::apply_grant(const policy::slot_grant& grant) {
    const auto waiting = m_waiting.extract(grant.ticket);
    if (waiting.empty()) {
        return false;
    }
    const auto& request = waiting.mapped().request;
    m_running[grant.ticket] = {grant.ticket, grant.server, request.service, request.tier, request.cost};
    waiting.mapped().callbacks.on_grant(grant);
    return true;
}

void local_requests::apply_refusal(const policy::slot_refusal& refusal) {
    const auto waiting = m_waiting.extract(refusal.ticket);
    if (!waiting.empty()) {
        waiting.mapped().callbacks.on_refusal(refusal);
    }
}

const policy::slot_request* local_requests::find(policy::slot_ticket ticket) const {
    const auto waiting = m_waiting.find(ticket);
    return waiting == m_waiting.end() ? nullptr : &waiting->second.request;
}

batch_items local_requests::list_all() const {
    batch_items items;
    for (const auto& [ticket, hold] : m_running) {
        items.holds.push_back(hold);
    }
    for (const auto& [ticket, waiting] : m_waiting) {
        items.asks.push_back(waiting.request);
    }
    return items;
}

batch_items local_requests::find_waiting(std::span<const policy::slot_ticket> tickets) const {
    batch_items items;
    for (const auto ticket : tickets) {
        const auto found = m_waiting.find(ticket);
        if (found != m_waiting.end()) {
            items.asks.push_back(found->second.request);
        }
    }
    return items;
}

} // namespace borageford::coordination
