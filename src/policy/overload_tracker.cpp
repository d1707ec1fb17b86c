// Implements overload_tracker: estimates the remaining duration of an overload as the time that it has lasted
// so far.
#include "policy/overload_tracker.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;

/// An overload is over when no request was refused for this long.
constexpr milliseconds overload_end_after{1000};
/// Lower bound of the retry delay. A request that is retried sooner would find the same queue.
constexpr milliseconds min_retry_delay{400};
constexpr milliseconds max_retry_delay{5000}; ///< upper bound of the retry delay
/// The random factor on the retry delay lies within 1 +/- this value.
constexpr double spread = 0.3;
/// The retry delay is at most this part of the time left until the caller's deadline. A caller that retries
/// later has too little time left for an answer.
constexpr double max_part_of_time_left = 0.33;

} // namespace

void overload_tracker::record_refusal(time_point now) noexcept {
    if (m_last == time_point::min() || now - m_last > overload_end_after) {
        m_begin = now;
    }
    m_last = now;
}

duration overload_tracker::retry_after(duration time_left, double draw, time_point now) const noexcept {
    const auto age = m_last == time_point::min() ? duration::zero() : now - m_begin;
    const auto expected = std::clamp<duration>(age, min_retry_delay, max_retry_delay);
    const double factor = 1 - spread + 2 * spread * draw;
    const auto longest = from_seconds(to_seconds(time_left) * max_part_of_time_left);
    return std::min(from_seconds(to_seconds(expected) * factor),
                    std::max<duration>(longest, milliseconds(1)));
}

} // namespace borageford::policy
