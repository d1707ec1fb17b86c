// Forgets everything after the process was cut off for too long.
#include "policy/retry_knowledge.hpp"

#include <algorithm>

namespace borageford::policy {

void retry_knowledge::record_connected(bool is_connected, time_point now) {
    if (!is_connected) {
        return;
    }
    if (now - m_last_connected > tolerated_gap) {
        m_since = now;
    }
    m_last_connected = now;
}

void retry_knowledge::learn(duration known_for, time_point now) {
    if (known_for > duration::zero()) {
        m_since = std::min(m_since, now - std::min<duration>(known_for, longest_known));
    }
}

duration retry_knowledge::known_for(time_point now) const {
    return now - m_last_connected > tolerated_gap ? duration::zero() : now - m_since;
}

} // namespace borageford::policy
