// The requests that wait for a slot, by service, tier and whether they can still meet their latency target.
#pragma once

#include "policy/event_rate.hpp"
#include "policy/overload_tracker.hpp"
#include "policy/slot_request.hpp"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace borageford::policy {

/// Whether a request can still meet its latency target, or is of a caller that came back as it was promised.
/// This chooses the queue of its tier in which it waits.
enum class target_state : std::uint8_t { in_time, late, promised };

/// Position of a request in a queue. Compares the arrival time first, so that a queue is sorted by age.
struct queue_key {
    time_point arrived;
    slot_ticket ticket = 0;
    auto operator<=>(const queue_key&) const = default;
};

/// One of the queues of a tier.
struct request_queue {
    using request_map = std::map<queue_key, slot_request>;
    using position = request_map::iterator;

    request_map requests;
    std::size_t resumes = 0; ///< number of the requests that need a certain software version
    event_rate grants;       ///< rate of grants from this queue
};

/// Requests that can still meet their target and late requests wait in separate queues, and late requests
/// only get the slots that the first queue leaves. With a single queue, its length would be limited only by
/// the maximum wait; nearly all requests that get a slot would be late by then, and all others would wait as
/// long just to be refused. Requests that came back as they were promised go before both: the room for them
/// was kept free.
struct tier_queues {
    [[nodiscard]] request_queue& of(target_state state) noexcept {
        switch (state) {
        case target_state::in_time:
            return in_time;
        case target_state::promised:
            return promised;
        case target_state::late:
            break;
        }
        return late;
    }
    [[nodiscard]] std::size_t size() const noexcept {
        return promised.requests.size() + in_time.requests.size() + late.requests.size();
    }

    request_queue promised; ///< requests of callers that came back as they were promised
    request_queue in_time;  ///< requests whose target some server could still meet
    request_queue late;
    overload_tracker overload;
};

/// The waiting requests of all services. Invariant: each of them is in one queue.
class slot_queues {
public:
    /// The queues of one service by tier, highest tier first.
    using service_queues = std::map<int, tier_queues>;

    [[nodiscard]] std::unordered_map<service_key, service_queues>& services() noexcept { return m_services; }
    /// The queues of the request's tier, whether or not it waits there.
    [[nodiscard]] tier_queues& tier_of(const slot_request& request) {
        return m_services[request.service][request.tier];
    }

    void insert(const slot_request& request, target_state state);
    /// Removes a waiting request and returns it; nothing if there is no such request.
    std::optional<slot_request> remove(slot_ticket ticket);
    /// Removes the request at a position of a queue and returns it.
    slot_request take(request_queue& queue, request_queue::position waiting);
    [[nodiscard]] bool contains(slot_ticket ticket) const { return m_locations.contains(ticket); }
    /// Calls `visit` with each waiting request.
    template <typename Visitor>
    void for_each(const Visitor& visit) const;
    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept { return m_locations.size(); }
    /// Number of waiting requests that get a slot before a new request of this service and tier.
    [[nodiscard]] std::size_t count_ahead(const slot_request& request) const;

    /// Sets until when the request may wait.
    void set_wait_limit(slot_ticket ticket, time_point limit);
    /// Removes the requests whose limits have been reached and returns them, the earliest limit first.
    [[nodiscard]] std::vector<slot_request> take_overdue(time_point now);

private:
    /// Where a waiting request is queued.
    struct queue_location {
        service_key service = 0;
        int tier = 0;
        target_state state = target_state::in_time;
        queue_key key;
    };

    std::unordered_map<service_key, service_queues> m_services;
    std::unordered_map<slot_ticket, queue_location> m_locations;
    /// Tickets that no longer wait are skipped.
    std::multimap<time_point, slot_ticket> m_wait_limits;
};

template <typename Visitor>
void slot_queues::for_each(const Visitor& visit) const {
    for (const auto& [service, tiers] : m_services) {
        for (const auto& [tier_number, tier] : tiers) {
            for (const auto* queue : {&tier.promised, &tier.in_time, &tier.late}) {
                std::ranges::for_each(queue->requests, [&](const auto& entry) { visit(entry.second); });
            }
        }
    }
}

} // namespace borageford::policy
