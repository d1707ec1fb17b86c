// Gives slots to the requests of all members that are attached, within the limits that hold over all of them.
// Knows no socket and no clock.
#pragma once

#include "coordination/message.hpp"
#include "policy/allowance_book.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/crash_suspects.hpp"
#include "policy/repeat_budget.hpp"
#include "policy/return_memory.hpp"
#include "policy/slot_scheduler.hpp"

#include <map>
#include <unordered_map>

namespace borageford::coordination {

/// Tickets are unique over all members: each draws them from a range of its own.
class slot_coordinator {
public:
    slot_coordinator(policy::slot_scheduler_limits slots, policy::allowance_limits allowances,
                     policy::repeat_limits repeats);

    [[nodiscard]] policy::slot_scheduler& scheduler() noexcept { return m_scheduler; }
    [[nodiscard]] const policy::slot_scheduler& scheduler() const noexcept { return m_scheduler; }
    [[nodiscard]] policy::allowance_book& allowances() noexcept { return m_allowances; }

    /// The part of all limits that this process may give out.
    void set_shares(double slots, double limits, policy::time_point now);

    /// A server has ended and started anew, under another key.
    void take_restart(policy::server_key former, policy::time_point now);

    /// Takes what a member says.
    void take(policy::member_key member, const batch_items& items, policy::time_point now);

    /// A member is gone: its requests wait no more, and its slots are free.
    void detach(policy::member_key member, policy::time_point now);

    /// Decides what can be decided now and returns what each member is to be told.
    [[nodiscard]] std::map<policy::member_key, batch_items> decide(policy::time_point now);

private:
    struct known_request {
        policy::member_key member = 0;
        policy::workspace_key workspace = 0;
        double charged_units = 0;
        std::uint64_t fingerprint = 0;
        bool is_running = false;
    };

    void take_ask(policy::member_key member, const policy::slot_request& ask, policy::time_point now);
    void take_withdrawal(policy::slot_ticket ticket, policy::time_point now);
    void take_release(const policy::slot_release& ended, policy::time_point now);
    void refuse(policy::member_key member, const policy::slot_refusal& refusal);

    policy::slot_scheduler m_scheduler;
    policy::allowance_book m_allowances;
    policy::repeat_budget m_repeats;
    policy::crash_suspects m_suspects;
    policy::return_memory m_returns;
    std::unordered_map<policy::slot_ticket, known_request> m_requests;
    std::map<policy::member_key, batch_items> m_output;
};

} // namespace borageford::coordination
