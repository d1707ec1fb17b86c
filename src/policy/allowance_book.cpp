// Token buckets whose rates follow the share.
#include "policy/allowance_book.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Changes of process within one window that the tolerance has to cover.
constexpr double covered_changes = 3;
/// Part of the slack by which a bucket is larger than the limit says: callers' bursts are judged when they
/// were sent, and here they are counted when they arrive, which some network jitter compresses.
constexpr double slack_in_bucket = 0.25;

} // namespace

double allowance_book::shared_burst(const allowance& limit) const {
    return limit.burst * m_share + m_limits.slack * slack_in_bucket;
}

double allowance_book::first_level(const allowance& limit) const {
    const double window = to_seconds(m_limits.window);
    const double tolerated = m_limits.tolerance * (limit.rate * window + limit.burst) + m_limits.slack;
    return std::min(shared_burst(limit), tolerated / covered_changes);
}

void allowance_book::set_share(double share, time_point now) {
    if (share == m_share) {
        return;
    }
    m_share = share;
    for (auto& [workspace, held] : m_entries) {
        held.bucket.set_rate(held.limit.rate * share, shared_burst(held.limit), now);
    }
}

void allowance_book::set_limit(workspace_key workspace, allowance limit, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end()) {
        found->second.limit = limit;
        found->second.bucket.set_rate(limit.rate * m_share, shared_burst(limit), now);
        return;
    }
    token_bucket bucket(limit.rate * m_share, shared_burst(limit), now);
    bucket.charge(shared_burst(limit) - first_level(limit), now);
    m_entries.emplace(workspace, entry{limit, bucket});
}

bool allowance_book::try_take(workspace_key workspace, double units, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end() || found->second.limit.rate <= 0) {
        return true;
    }
    return found->second.bucket.try_take(units, now);
}

void allowance_book::give_back(workspace_key workspace, double units, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end() && units > 0) {
        found->second.bucket.charge(-units, now);
    }
}

duration allowance_book::time_until(workspace_key workspace, double units, time_point now) const {
    const auto found = m_entries.find(workspace);
    return found == m_entries.end() ? duration::zero() : found->second.bucket.time_until(units, now);
}

} // namespace borageford::policy
