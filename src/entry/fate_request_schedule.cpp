// Exponential backoff of the requests for a dispatch's fate.
#include "entry/fate_request_schedule.hpp"

#include <algorithm>

namespace borageford::entry {
namespace {

constexpr std::chrono::milliseconds first_delay{20};
constexpr std::chrono::milliseconds max_delay{1000};

} // namespace

bool fate_request_schedule::record_lost_connection(clock::time_point now) {
    if (!m_lost_since) {
        m_lost_since = now;
        m_backoff_delay = first_delay;
    } else {
        m_backoff_delay = std::min<clock::duration>(m_backoff_delay * 2, max_delay);
    }
    m_next_request_time = now + m_backoff_delay;
    return now - *m_lost_since <= m_limit;
}

void fate_request_schedule::reset() noexcept {
    m_lost_since.reset();
    m_next_request_time.reset();
}

} // namespace borageford::entry
