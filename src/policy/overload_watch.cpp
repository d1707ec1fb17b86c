// The age of an overload is its expected rest.
#include "policy/overload_watch.hpp"

#include <algorithm>
#include <chrono>

namespace borageford::policy {

namespace {

using std::chrono::milliseconds;

/// Without a refusal for this long an overload is over.
constexpr milliseconds calm_after{1000};
/// Sooner, the same queue would still be there.
constexpr milliseconds least_wait{400};
constexpr milliseconds most_wait{5000};
/// Callers are spread over this part of the expected time, to both sides.
constexpr double spread = 0.3;
/// Coming back later than this part of its time, a caller has too little left to be served.
constexpr double most_of_time_left = 0.33;

} // namespace

void overload_watch::note_refusal(time_point now) noexcept {
    if (m_last == time_point::min() || now - m_last > calm_after) {
        m_begin = now;
    }
    m_last = now;
}

duration overload_watch::retry_after(duration time_left, double draw, time_point now) const noexcept {
    const auto age = m_last == time_point::min() ? duration::zero() : now - m_begin;
    const auto expected = std::clamp<duration>(age, least_wait, most_wait);
    const double factor = 1 - spread + 2 * spread * draw;
    const auto most = from_seconds(to_seconds(time_left) * most_of_time_left);
    return std::min(from_seconds(to_seconds(expected) * factor), std::max<duration>(most, milliseconds(1)));
}

} // namespace borageford::policy
