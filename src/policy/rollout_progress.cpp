// Implements the phase transitions of rollout_progress. A roll-out never returns to an earlier phase, except
// that it goes back to `waiting` while this process isn't the coordinator.
#include "policy/rollout_progress.hpp"

namespace borageford::policy {

std::string_view to_string(rollout_phase phase) noexcept {
    switch (phase) {
    case rollout_phase::waiting:
        return "waiting";
    case rollout_phase::probing:
        return "probing";
    case rollout_phase::finishing:
        return "finishing";
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        break;
    }
    return "rolled_back";
}

void rollout_progress::begin() noexcept {
    if (m_phase == rollout_phase::waiting) {
        m_phase = rollout_phase::probing;
    }
}

void rollout_progress::pause() noexcept {
    if (!is_over()) {
        m_phase = rollout_phase::waiting;
    }
}

void rollout_progress::record_grant(bool is_new) noexcept {
    ++m_granted;
    m_granted_new += is_new ? 1 : 0;
}

void rollout_progress::record_answer(bool is_new, const version_answer& answer) {
    if (is_new) {
        m_analysis.record_new(answer);
    } else {
        m_analysis.record_previous(answer);
    }
}

bool rollout_progress::can_grant_to_new_version() const noexcept {
    return static_cast<double>(m_granted_new + 1) <= canary_share * static_cast<double>(m_granted);
}

void rollout_progress::advance(bool is_previous_idle, time_point now) {
    const bool is_open = m_phase == rollout_phase::probing || m_phase == rollout_phase::finishing;
    if (!is_open) {
        return;
    }
    if (m_analysis.is_bad()) {
        m_phase = rollout_phase::rolled_back;
        return;
    }
    if (m_phase == rollout_phase::finishing) {
        m_phase = is_previous_idle ? rollout_phase::completed : m_phase;
        return;
    }
    const bool is_late_enough = now - m_begin >= from_seconds(to_seconds(m_length) * earliest_acceptance);
    if (is_late_enough && m_analysis.is_good()) {
        m_phase = rollout_phase::finishing;
    } else if (now >= end()) {
        m_phase = rollout_phase::rolled_back; // too few answers, or too many bad ones, to accept the version
    }
}

} // namespace borageford::policy
