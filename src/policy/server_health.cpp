// Implements server_health: cooldowns whose length doubles with each further failure, and which one
// successful probe request ends.
#include "policy/server_health.hpp"

#include <algorithm>
#include <utility>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;

/// Consecutive failures after which a server's cooldown starts. A single failure may be caused by the request
/// itself.
constexpr unsigned tolerated_failures = 3;
/// The same limit for failures which show that the server isn't there: its connection was refused or timed
/// out, or another server answered at its address. A server that crashed and started again at its address
/// rejects everything that is sent to the start before the crash, so that start always appears to have free
/// slots. Until the new start's registration is known, it would draw one request after the other, and each of
/// them would count as a retry.
constexpr unsigned tolerated_when_unreachable = 1;
constexpr milliseconds first_cooldown{150}; ///< length of the first cooldown
constexpr unsigned max_doublings = 4;       ///< so that the longest cooldown is 2.4 s

} // namespace

server_health::availability server_health::availability_at(time_point now) const {
    if (now < m_cooldown_until) {
        return availability::none;
    }
    return m_is_probing ? availability::probe : availability::full;
}

server_health::change server_health::record(slot_outcome outcome, time_point now) {
    switch (outcome) {
    case slot_outcome::served:
        return record_success(now);
    case slot_outcome::failed:
    case slot_outcome::broken:
        return record_failure(false, now);
    case slot_outcome::replaced:
    case slot_outcome::unreachable:
        return record_failure(true, now);
    case slot_outcome::refused:   // no failure of the server in any of the cases of this outcome
    case slot_outcome::abandoned: // ended by the caller or its deadline, not by the server
        break;
    }
    return change::none;
}

server_health::change server_health::record_success(time_point now) {
    m_last_success = now;
    m_failures.record(false, now);
    m_failures_in_row = 0;
    m_cooldowns = 0;
    const auto of_rate = update_failing(now);
    return std::exchange(m_is_probing, false) ? change::recovered : of_rate;
}

server_health::change server_health::update_failing(time_point now) {
    const bool is_high = m_failures.is_high(now);
    if (std::exchange(m_is_failing, is_high) == is_high) {
        return change::none;
    }
    return is_high ? change::failing_began : change::failing_ended;
}

server_health::change server_health::record_failure(bool is_unreachable, time_point now) {
    m_last_failure = now;
    if (!is_unreachable) {
        m_failures.record(true, now); // a request that reached nobody isn't lost
    }
    const auto of_rate = update_failing(now);
    ++m_failures_in_row;
    const auto tolerated = is_unreachable ? tolerated_when_unreachable : tolerated_failures;
    if (m_failures_in_row < tolerated || now < m_cooldown_until) {
        return of_rate;
    }
    m_cooldown_until = now + first_cooldown * (1U << std::min(m_cooldowns, max_doublings));
    ++m_cooldowns;
    m_is_probing = true;
    return change::cooldown_started;
}

void server_health::adopt(time_point failed, time_point cooldown_until, unsigned cooldowns) noexcept {
    if (cooldowns == 0 || m_last_success > failed) {
        return;
    }
    m_last_failure = std::max(m_last_failure, failed);
    m_cooldown_until = std::max(m_cooldown_until, cooldown_until);
    m_cooldowns = std::max(m_cooldowns, cooldowns);
    m_is_probing = true;
}

} // namespace borageford::policy
