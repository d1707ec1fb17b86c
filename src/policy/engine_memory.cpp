// Implementation of engine_memory.
#include "policy/engine_memory.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

/// Losses within this time are taken for one crash: each gateway notices it by the end of its own
/// connections.
constexpr std::chrono::milliseconds max_crash_notice_time{250};

} // namespace

bool engine_memory::fits(double tokens, slot_ticket ticket) const noexcept {
    const double kept = m_kept.ticket == ticket ? 0 : m_kept.tokens;
    return !is_limited() || m_reserved + kept + tokens <= m_limit;
}

void engine_memory::release(double tokens) noexcept {
    m_reserved = std::max(0.0, m_reserved - tokens);
}

double engine_memory::free() const noexcept {
    return std::max(0.0, m_limit - m_reserved);
}

std::optional<double> engine_memory::record_loss(unsigned outstanding, time_point now) {
    if (!m_first_loss.has_value() || now - m_first_loss->at > max_crash_notice_time) {
        m_first_loss = loss{now, m_reserved};
        return outstanding <= 1 ? std::exchange(m_first_loss, std::nullopt)->held : std::optional<double>();
    }
    return m_first_loss->held;
}

} // namespace borageford::policy
