// Requests that a process's own part has no room for, and that a coordinator may have.
#pragma once

#include "policy/slot_request.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace borageford::coordination {

/// Between two coordinators, and after all processes were started at once, each has its part of every
/// allowance and of the repeats only. One large request needs more than that, so callers who keep within
/// their limits were refused at each such moment. They wait for the coordinator instead.
class deferred_refusals {
public:
    /// Takes out the refusals that only the want of a whole limit explains.
    void take_from(std::vector<policy::slot_refusal>& refusals) {
        std::erase_if(refusals, [this](const policy::slot_refusal& refusal) {
            const bool is_for_want_of_part = refusal.reason == policy::refusal_reason::over_allowance ||
                                             refusal.reason == policy::refusal_reason::over_retry_budget;
            if (is_for_want_of_part) {
                m_tickets.push_back(refusal.ticket);
            }
            return is_for_want_of_part;
        });
    }

    [[nodiscard]] bool is_empty() const noexcept { return m_tickets.empty(); }
    /// The requests that wait, which are asked for anew.
    [[nodiscard]] std::vector<policy::slot_ticket> take_all() { return std::exchange(m_tickets, {}); }
    void clear() noexcept { m_tickets.clear(); }

private:
    std::vector<policy::slot_ticket> m_tickets;
};

} // namespace borageford::coordination
