// States granted retries often while more are granted, and rarely otherwise.
#include "coordination/retry_exchange.hpp"

#include <chrono>

namespace borageford::coordination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds report_period{1000};
/// Each reply to a heartbeat contains a statement if a retry was granted within this time, and otherwise one
/// reply in `statement_period`.
constexpr milliseconds recent_retry{500};
constexpr unsigned statement_period = 10;
/// For how long one statement is sent to all members. Making one for each of hundreds of members that attach
/// at once takes a coordinator longer than they wait for it.
constexpr milliseconds statement_lifetime{40};

} // namespace

void retry_exchange::tick(bool is_connected, policy::time_point now) {
    m_budget.knowledge().record_connected(is_connected, now);
    if (now - m_reported < report_period) {
        return;
    }
    m_reported = now;
    for (const auto service : m_budget.services()) {
        m_report(service, m_budget.current_use(service, now), false);
    }
}

void retry_exchange::report_used_up(policy::time_point now) {
    for (const auto service : m_budget.take_used_up()) {
        m_report(service, m_budget.current_use(service, now), true);
    }
}

const policy::retry_statement& retry_exchange::state(policy::time_point now) {
    if (now - m_stated_at >= statement_lifetime) {
        m_stated = m_budget.statement(now);
        m_stated_at = now;
    }
    return m_stated;
}

policy::retry_statement retry_exchange::state_to_member(unsigned heartbeat, policy::time_point now) {
    const bool is_due = heartbeat % statement_period == 0;
    const bool is_recent = m_budget.has_granted_since(now - recent_retry);
    return is_due || is_recent ? state(now) : policy::retry_statement{};
}

} // namespace borageford::coordination
