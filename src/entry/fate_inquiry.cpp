// Exponential backoff of the requests for a dispatch's fate.
#include "entry/fate_inquiry.hpp"

#include <algorithm>

namespace borageford::entry {
namespace {

constexpr std::chrono::milliseconds first_delay{20};
constexpr std::chrono::milliseconds longest_delay{1000};

} // namespace

bool fate_inquiry::note_loss(clock::time_point now) {
    if (!m_lost_since) {
        m_lost_since = now;
        m_delay = first_delay;
    } else {
        m_delay = std::min<clock::duration>(m_delay * 2, longest_delay);
    }
    m_ask_at = now + m_delay;
    return now - *m_lost_since <= m_limit;
}

void fate_inquiry::settle() noexcept {
    m_lost_since.reset();
    m_ask_at.reset();
}

} // namespace borageford::entry
