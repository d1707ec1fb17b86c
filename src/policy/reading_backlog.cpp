// Implements reading_backlog as the expected time at which all prompts are processed; each observed first
// event can only bring it forward.
#include "policy/reading_backlog.hpp"

#include <algorithm>

namespace borageford::policy {

reading_backlog::mark reading_backlog::add(duration reading, time_point now) noexcept {
    m_ends = std::max(m_ends, now) + reading;
    m_given += reading;
    return m_given;
}

void reading_backlog::note_read(mark prompt, time_point at) noexcept {
    const auto given_after = m_given - prompt;
    m_ends = std::min(m_ends, at + given_after);
}

duration reading_backlog::wait(time_point now) const noexcept {
    return std::max(duration::zero(), m_ends - now);
}

} // namespace borageford::policy
