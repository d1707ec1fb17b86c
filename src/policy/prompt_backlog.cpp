// Implements prompt_backlog as the expected time at which all prompts are processed; each observed first
// event can only bring it forward.
#include "policy/prompt_backlog.hpp"

#include <algorithm>

namespace borageford::policy {

prompt_backlog::mark prompt_backlog::add(duration processing_time, time_point now) noexcept {
    m_expected_end = std::max(m_expected_end, now) + processing_time;
    m_total += processing_time;
    return m_total;
}

void prompt_backlog::record_processed(mark prompt, time_point at) noexcept {
    const auto added_after = m_total - prompt;
    m_expected_end = std::min(m_expected_end, at + added_after);
}

duration prompt_backlog::wait(time_point now) const noexcept {
    return std::max(duration::zero(), m_expected_end - now);
}

} // namespace borageford::policy
