// Implements the state transitions of dispatches.
#include "ledger/dispatch_ledger.hpp"

#include <algorithm>

namespace borageford::ledger {

dispatch_ledger::dispatch_ledger(ledger_limits limits) : m_limits(limits) {}

offer_result dispatch_ledger::record_offer(dispatch_id dispatch) {
    const auto [found, is_new] = m_entries.try_emplace(dispatch);
    if (is_new) {
        return offer_result::taken;
    }
    switch (found->second.state) {
    case dispatch_state::offered:
    case dispatch_state::granted:
    case dispatch_state::started:
        return offer_result::already_known;
    case dispatch_state::finished:
    case dispatch_state::withdrawn:
        break;
    }
    return offer_result::tombstoned;
}

bool dispatch_ledger::grant(dispatch_id dispatch, time_point expiry) {
    const auto found = m_entries.find(dispatch);
    if (found == m_entries.end() || found->second.state != dispatch_state::offered) {
        return false;
    }
    found->second = {dispatch_state::granted, expiry};
    m_grants.push_back({dispatch, expiry});
    return true;
}

start_result dispatch_ledger::start(dispatch_id dispatch, time_point now) {
    const auto found = m_entries.find(dispatch);
    if (found == m_entries.end()) {
        end(dispatch, dispatch_state::withdrawn, now);
        return start_result::not_begun;
    }
    auto& held = found->second;
    if (held.state == dispatch_state::started || held.state == dispatch_state::finished) {
        return start_result::already_started;
    }
    if (held.state != dispatch_state::granted || held.expiry <= now) {
        end(dispatch, dispatch_state::withdrawn, now);
        return start_result::not_begun;
    }
    held.state = dispatch_state::started;
    return start_result::begun;
}

withdraw_result dispatch_ledger::withdraw(dispatch_id dispatch, time_point now) {
    const auto found = m_entries.find(dispatch);
    if (found != m_entries.end() &&
        (found->second.state == dispatch_state::started || found->second.state == dispatch_state::finished)) {
        return withdraw_result::already_started;
    }
    end(dispatch, dispatch_state::withdrawn, now);
    return withdraw_result::withdrawn;
}

void dispatch_ledger::revoke_start(dispatch_id dispatch, time_point now) {
    end(dispatch, dispatch_state::withdrawn, now);
}

void dispatch_ledger::finish(dispatch_id dispatch, time_point now) {
    end(dispatch, dispatch_state::finished, now);
}

attach_result dispatch_ledger::attach(dispatch_id dispatch, time_point earliest_start, time_point now) {
    const auto found = m_entries.find(dispatch);
    if (found == m_entries.end()) {
        if (m_has_removed_finished && earliest_start <= m_removed_until) {
            return attach_result::unknown;
        }
        end(dispatch, dispatch_state::withdrawn, now);
        return attach_result::not_begun;
    }
    switch (found->second.state) {
    case dispatch_state::started:
        return attach_result::running;
    case dispatch_state::finished:
        return attach_result::finished;
    case dispatch_state::offered:
    case dispatch_state::granted:
    case dispatch_state::withdrawn:
        break;
    }
    end(dispatch, dispatch_state::withdrawn, now);
    return attach_result::not_begun;
}

void dispatch_ledger::adopt(dispatch_id dispatch) {
    m_entries.insert_or_assign(dispatch, entry{dispatch_state::started, {}});
}

void dispatch_ledger::forget_adopted(dispatch_id dispatch) {
    m_entries.erase(dispatch);
}

std::vector<dispatch_id> dispatch_ledger::expire_grants(time_point now) {
    std::vector<dispatch_id> expired;
    while (!m_grants.empty() && m_grants.front().time <= now) {
        const auto dispatch = m_grants.front().dispatch;
        m_grants.pop_front();
        const auto found = m_entries.find(dispatch);
        if (found != m_entries.end() && found->second.state == dispatch_state::granted) {
            end(dispatch, dispatch_state::withdrawn, now);
            expired.push_back(dispatch);
        }
    }
    return expired;
}

void dispatch_ledger::forget_old(time_point now) {
    while (!m_ended.empty() && now - m_ended.front().time >= m_limits.retention) {
        remove_oldest();
    }
}

const dispatch_state* dispatch_ledger::find(dispatch_id dispatch) const noexcept {
    const auto found = m_entries.find(dispatch);
    return found == m_entries.end() ? nullptr : &found->second.state;
}

void dispatch_ledger::end(dispatch_id dispatch, dispatch_state state, time_point now) {
    auto& held = m_entries[dispatch];
    if (held.state == dispatch_state::withdrawn || held.state == dispatch_state::finished) {
        return;
    }
    held.state = state;
    m_ended.push_back({dispatch, now});
    if (m_ended.size() > m_limits.entries) {
        remove_oldest();
    }
}

void dispatch_ledger::remove_oldest() {
    const auto [dispatch, time] = m_ended.front();
    m_ended.pop_front();
    const auto found = m_entries.find(dispatch);
    if (found == m_entries.end()) {
        return;
    }
    if (found->second.state == dispatch_state::finished) {
        m_removed_until = std::max(m_removed_until, time);
        m_has_removed_finished = true;
    }
    m_entries.erase(found);
}

} // namespace borageford::ledger
