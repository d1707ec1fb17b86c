// Keeps the last answer of each suspect, and the order of all answers.
#include "policy/recent_answers.hpp"

namespace borageford::policy {

void recent_answers::record(const crash_suspect& suspect, time_point now) {
    m_latest[suspect] = now;
    m_order.push_back({suspect, now});
    while (now - m_order.front().at > memory || m_order.size() > max_entries) {
        const auto found = m_latest.find(m_order.front().suspect);
        if (found != m_latest.end() && found->second == m_order.front().at) {
            m_latest.erase(found);
        }
        m_order.pop_front();
    }
}

bool recent_answers::contains(const crash_suspect& suspect, time_point now) const {
    const auto found = m_latest.find(suspect);
    return found != m_latest.end() && now - found->second <= memory;
}

} // namespace borageford::policy
