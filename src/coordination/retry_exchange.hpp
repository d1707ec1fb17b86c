// What this process tells other gateways, and its owner, of the retries that were granted.
#pragma once

#include "policy/server_retry_budget.hpp"

#include <functional>
#include <utility>

namespace borageford::coordination {

/// Used on one executor.
class retry_exchange {
public:
    /// See broker_observers::on_retry_use.
    using report_handler =
        std::function<void(policy::service_key, const policy::server_retry_budget::use&, bool has_run_out)>;

    retry_exchange(policy::server_retry_budget& budget, report_handler report)
        : m_budget(budget), m_report(std::move(report)) {}

    /// To be called every 50 ms. `is_connected`: this process has a coordinator, or coordinates most others.
    void tick(bool is_connected, policy::time_point now);
    /// Reports the services whose budget has run out since the last call.
    void report_used_up(policy::time_point now);

    /// The statement for the first batch of a session.
    [[nodiscard]] const policy::retry_statement& state(policy::time_point now);
    /// The statement for the reply to a heartbeat of a member, the one with this number in its session; empty
    /// if the member knows the uses well enough.
    [[nodiscard]] policy::retry_statement state_to_member(unsigned heartbeat, policy::time_point now);

private:
    policy::server_retry_budget& m_budget;
    report_handler m_report;
    policy::retry_statement m_stated; ///< the last statement, which is sent to all members for a while
    policy::time_point m_stated_at;
    policy::time_point m_reported; ///< when the use of all services was last reported
};

} // namespace borageford::coordination
