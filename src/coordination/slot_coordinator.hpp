// Grants slots to the requests of all attached members, within the limits that apply to all members together.
// Uses no socket and no clock; the caller passes messages and times in.
#pragma once

#include "coordination/message.hpp"
#include "policy/coordinator_election.hpp"
#include "policy/crash_ledger.hpp"
#include "policy/quota_tracker.hpp"
#include "policy/refusal_history.hpp"
#include "policy/server_retry_budget.hpp"
#include "policy/slot_scheduler.hpp"

#include <map>
#include <unordered_map>

namespace borageford::coordination {

/// The requests of all members are told apart by their tickets alone; see policy::slot_ticket for how far
/// tickets of different members differ.
class slot_coordinator {
public:
    /// `source` identifies this run of the process, which started at `started`.
    slot_coordinator(policy::slot_scheduler_limits slots, policy::quota_limits quotas,
                     policy::server_retry_limits retries, std::uint64_t source = 0,
                     policy::time_point started = {});

    [[nodiscard]] policy::slot_scheduler& scheduler() noexcept { return m_scheduler; }
    [[nodiscard]] const policy::slot_scheduler& scheduler() const noexcept { return m_scheduler; }
    [[nodiscard]] policy::quota_tracker& quotas() noexcept { return m_quotas; }
    [[nodiscard]] policy::server_retry_budget& retry_budget() noexcept { return m_retry_budget; }
    [[nodiscard]] policy::crash_ledger& crashes() noexcept { return m_crashes; }
    [[nodiscard]] const policy::crash_ledger& crashes() const noexcept { return m_crashes; }

    /// The parts that this process may grant of what all processes together may grant, each from 0 to 1.
    struct shares {
        double slots = 1;
        double quotas = 1;
        double retry_reserve = 1;
    };
    void set_shares(const shares& own, policy::time_point now);
    /// Sets the part of the servers' rate limits that this process may use.
    void set_rate_share(policy::rate_share share, policy::time_point now) {
        m_scheduler.set_rate_share(share, now);
    }

    /// Processes the items that a member sent.
    void apply_items(policy::member_key member, const batch_items& items, policy::time_point now);

    /// Whether this process grants the slots of all others, too. Only such a process accepts probes of
    /// quarantined prompt parts, so that all processes together send one at a time.
    void set_accepting_probes(bool accepts) noexcept { m_accepts_probes = accepts; }
    /// Refuses the waiting requests that are quarantined by now, and all but one copy of each other request
    /// that is suspected.
    void refuse_suspects(policy::time_point now);

    /// Drops a member. Its waiting requests are removed, and the slots that its requests occupy become free.
    void detach(policy::member_key member, policy::time_point now);

    /// Grants free slots and refuses requests that can't be served in time. Returns the items to send, by
    /// member.
    [[nodiscard]] std::map<policy::member_key, batch_items> decide(policy::time_point now);

private:
    /// A request that waits for a slot or occupies one.
    struct known_request {
        policy::member_key member = 0;
        policy::workspace_key workspace = 0;
        double charged_units = 0; ///< charged to the workspace's quota; given back if it doesn't run
        std::uint64_t fingerprint = 0;
        bool is_running = false;
        policy::service_key service = 0;
        /// It waits, and the retry budget of its service has a retry reserved for it.
        bool has_reserved_retry = false;
    };

    void handle_slot_request(policy::member_key member, const policy::slot_request& request,
                             policy::time_point now);
    [[nodiscard]] bool accepts_probe(std::uint64_t part, policy::time_point now);
    [[nodiscard]] bool must_wait_for_copy(std::uint64_t fingerprint, policy::time_point now) const;
    void handle_withdrawal(policy::slot_ticket ticket, policy::time_point now);
    void handle_release(const policy::slot_release& ended, policy::time_point now);
    void refuse(policy::member_key member, const policy::slot_refusal& refusal);
    void forget_waiting(policy::slot_ticket ticket, policy::time_point now);

    policy::slot_scheduler m_scheduler;
    policy::quota_tracker m_quotas;
    policy::server_retry_budget m_retry_budget;
    policy::crash_ledger m_crashes;
    bool m_accepts_probes = false;
    std::map<std::uint64_t, policy::time_point> m_probes; ///< when the last probe of each part was accepted
    policy::refusal_history m_refusal_history;
    std::unordered_map<policy::slot_ticket, known_request> m_requests;
    std::map<policy::member_key, batch_items> m_output; ///< decisions since the last call of decide()
};

} // namespace borageford::coordination
