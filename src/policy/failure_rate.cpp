// Implements failure_rate: two counts that fade exponentially.
#include "policy/failure_rate.hpp"

#include <chrono>
#include <cmath>

namespace borageford::policy {

namespace {

/// The time after which a request counts half.
constexpr std::chrono::milliseconds half_life{1500};
/// Served requests that are assumed in addition, so that one lost request of a hardly used server isn't taken
/// for its rate.
constexpr double assumed_served = 4;
/// A server that loses more than this share is used when no other has room. Requests that nobody may repeat
/// are lost for good there.
constexpr double high_share = 0.1;
/// Lost requests below which no rate is high.
constexpr double min_lost = 1.2;

} // namespace

double failure_rate::remainder(time_point now) const {
    if (m_counted == time_point::min() || now <= m_counted) {
        return 1;
    }
    return std::exp2(-to_seconds(now - m_counted) / to_seconds(half_life));
}

void failure_rate::record(bool is_lost, time_point now) {
    const double kept = remainder(now);
    m_served *= kept;
    m_lost *= kept;
    m_counted = now;
    (is_lost ? m_lost : m_served) += 1;
}

double failure_rate::share(time_point now) const {
    const double kept = remainder(now);
    return m_lost * kept / ((m_lost + m_served) * kept + assumed_served);
}

bool failure_rate::is_high(time_point now) const {
    if (m_lost < min_lost) {
        return false; // asked for each server and each request: spares the exponential function
    }
    return m_lost * remainder(now) >= min_lost && share(now) > high_share;
}

} // namespace borageford::policy
