// Implementation of engine_memory.
#include "policy/engine_memory.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageford::policy {

namespace {

/// The gateways notice within this time that an engine has crashed, each by the end of its own connections.
constexpr std::chrono::milliseconds crash_spread{250};

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
    if (!m_first_loss.has_value() || now - m_first_loss->at > crash_spread) {
        m_first_loss = loss{now, m_reserved};
        return outstanding <= 1 ? std::exchange(m_first_loss, std::nullopt)->held : std::optional<double>();
    }
    return m_first_loss->held;
}

} // namespace borageford::policy
