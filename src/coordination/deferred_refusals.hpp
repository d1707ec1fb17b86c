// Keeps slot requests that exceed the local share of a limit of this process until a coordinator can decide
// about them.
#pragma once

#include "policy/slot_request.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::coordination {

/// While there is no coordinator, for instance after it was lost or after all processes were started at once,
/// each process may grant only its local share of each workspace's quota, of the retry budget, of the
/// servers' rate limits and of the engines' memory. One large request can need more than that, so callers
/// that keep within their limits were refused at each such moment. Their requests wait for the coordinator
/// instead.
class deferred_refusals {
public:
    /// Removes from `refusals` those that the local share of a limit caused, and keeps the ids of their
    /// requests.
    void extract_from(std::vector<policy::slot_refusal>& refusals) {
        std::erase_if(refusals, [this](const policy::slot_refusal& refusal) {
            const bool exceeds_local_share = refusal.reason == policy::refusal_reason::over_allowance ||
                                             refusal.reason == policy::refusal_reason::over_retry_budget ||
                                             refusal.reason == policy::refusal_reason::over_server_limit ||
                                             refusal.reason == policy::refusal_reason::over_memory;
            if (exceeds_local_share) {
                m_tickets.push_back(refusal.ticket);
            }
            return exceeds_local_share;
        });
    }

    [[nodiscard]] bool is_empty() const noexcept { return m_tickets.empty(); }
    /// Returns the ids of the kept requests and forgets them; the caller submits the requests again.
    [[nodiscard]] std::vector<policy::slot_ticket> take_tickets() { return std::exchange(m_tickets, {}); }
    void clear() noexcept { m_tickets.clear(); }

private:
    std::vector<policy::slot_ticket> m_tickets;
};

} // namespace borageford::coordination
