// Implementation of dispatch_store: adding, finding and removing started dispatches.
#include "sidecar/dispatch_store.hpp"

#include "policy/equal_share.hpp"

#include <algorithm>
#include <utility>

namespace borageford::sidecar {

void dispatch_store::add(const record_pointer& dispatch) {
    m_records.emplace(dispatch->request.dispatch, dispatch);
    ++m_running;
    if (dispatch->request.resend_key != 0) {
        m_resends.insert_or_assign(dispatch->request.resend_key, dispatch->request.dispatch);
    }
}

void dispatch_store::keep(const record_pointer& dispatch, time_point now) {
    --m_running;
    m_kept.push_back({dispatch->request.dispatch, now});
    const auto& ending = dispatch->answer.ending();
    if (!ending || ending->failure) {
        forget_resend_key(*dispatch);
    }
    while (kept_count() > m_limits.kept_answers) {
        forget_oldest_kept();
    }
}

void dispatch_store::acknowledge(dispatch_id dispatch) {
    const auto found = find(dispatch);
    if (found == nullptr || !found->answer.ending()) {
        return;
    }
    found->is_acknowledged = true;
    if (found->request.is_idempotent) {
        remove(dispatch);
    }
}

void dispatch_store::remove(dispatch_id dispatch) {
    const auto found = m_records.find(dispatch);
    if (found == m_records.end()) {
        return;
    }
    const auto record = found->second;
    m_records.erase(found);
    m_memory -= record->answer.length();
    if (!record->ended) {
        --m_running;
    }
    forget_resend_key(*record);
}

dispatch_store::record_pointer dispatch_store::find(dispatch_id dispatch) const {
    const auto found = m_records.find(dispatch);
    return found == m_records.end() ? nullptr : found->second;
}

dispatch_store::record_pointer dispatch_store::find_resend(std::uint64_t resend_key,
                                                           std::uint64_t fingerprint) const {
    if (resend_key == 0) {
        return nullptr;
    }
    const auto found = m_resends.find(resend_key);
    if (found == m_resends.end()) {
        return nullptr;
    }
    const auto record = find(found->second);
    const auto is_usable =
        record != nullptr && record->request.fingerprint == fingerprint && !record->is_cancelled;
    return is_usable ? record : nullptr;
}

void dispatch_store::remember_elsewhere(std::uint64_t resend_key, started_elsewhere where, time_point now) {
    if (resend_key == 0) {
        return;
    }
    m_elsewhere.insert_or_assign(resend_key, elsewhere_entry{std::move(where), now});
    m_elsewhere_ages.push_back({resend_key, now});
    while (m_elsewhere_ages.size() > m_limits.known_elsewhere) {
        forget_oldest_elsewhere();
    }
}

std::optional<started_elsewhere>
dispatch_store::find_elsewhere(std::uint64_t resend_key, std::uint64_t fingerprint, time_point now) const {
    const auto found = m_elsewhere.find(resend_key);
    if (found == m_elsewhere.end() || now - found->second.since >= m_limits.known_elsewhere_time) {
        return std::nullopt;
    }
    if (found->second.where.fingerprint != fingerprint) {
        return std::nullopt;
    }
    return found->second.where;
}

void dispatch_store::forget_old(time_point now) {
    while (!m_kept.empty() && now - m_kept.front().since >= m_limits.retention) {
        forget_oldest_kept();
    }
    while (!m_elsewhere_ages.empty() &&
           now - m_elsewhere_ages.front().since >= m_limits.known_elsewhere_time) {
        forget_oldest_elsewhere();
    }
}

bool dispatch_store::add_bytes(std::uint64_t length, std::uint64_t bytes) {
    while (m_memory + bytes > m_limits.memory && !m_kept.empty()) {
        forget_oldest_kept();
    }
    const policy::memory_use wanted{m_memory + bytes, length + bytes};
    if (policy::exceeds_equal_share(wanted, m_limits.memory, m_running)) {
        return false;
    }
    m_memory += bytes;
    return true;
}

std::vector<dispatch_store::record_pointer> dispatch_store::running() const {
    std::vector<record_pointer> found;
    for (const auto& [id, record] : m_records) {
        if (!record->ended) {
            found.push_back(record);
        }
    }
    return found;
}

bool dispatch_store::has_undelivered(duration grace, time_point now) const {
    return std::ranges::any_of(m_records, [grace, now](const auto& held) {
        const auto& record = *held.second;
        return record.ended && !record.is_acknowledged && !record.answer.ending()->failure &&
               now - *record.ended < grace;
    });
}

void dispatch_store::forget_resend_key(const dispatch_record& dispatch) {
    const auto found = m_resends.find(dispatch.request.resend_key);
    if (found != m_resends.end() && found->second == dispatch.request.dispatch) {
        m_resends.erase(found);
    }
}

void dispatch_store::forget_oldest_kept() {
    const auto oldest = m_kept.front().dispatch;
    m_kept.pop_front();
    remove(oldest);
}

void dispatch_store::forget_oldest_elsewhere() {
    const auto [key, since] = m_elsewhere_ages.front();
    m_elsewhere_ages.pop_front();
    const auto found = m_elsewhere.find(key);
    if (found != m_elsewhere.end() && found->second.since <= since) {
        m_elsewhere.erase(found);
    }
}

} // namespace borageford::sidecar
