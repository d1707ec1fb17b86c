// Token buckets whose rates follow the share.
#include "policy/allowance_book.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Changes of process within one window that the rest of the tolerance has to cover.
constexpr double covered_changes = 3;
/// Part of the tolerance that buckets give out. A workspace's requests are counted here by the most tokens
/// that they may take, when they arrive; judged by the bare limit, callers who keep it would be refused at
/// each burst. The rest is for what a coordinator doesn't know of its predecessor.
constexpr double used_tolerance = 0.5;
/// Part of a bucket that each rank leaves to the ranks above it.
constexpr double left_per_rank = 0.25;
constexpr double most_left_to_higher = 0.75;
/// A request that takes less of a bucket than this takes little from anybody, and leaves accordingly little:
/// a bookmark costs a workspace a twentieth of a summary.
constexpr double small_part = 0.02;

} // namespace

double allowance_book::shared_rate(const allowance& limit) const {
    return limit.rate * (1 + m_limits.tolerance * used_tolerance) * m_share;
}

double allowance_book::shared_burst(const allowance& limit) const {
    return limit.burst * (1 + m_limits.tolerance * used_tolerance) * m_share +
           m_limits.slack * used_tolerance * m_share;
}

double allowance_book::first_level(const allowance& limit) const {
    const double window = to_seconds(m_limits.window);
    const double tolerated = m_limits.tolerance * (limit.rate * window + limit.burst) + m_limits.slack;
    const double unused = tolerated * (1 - used_tolerance);
    // Its part only: all gateways that come back together each begin with a bucket of their own, before they
    // have found who coordinates, and together would give out many times what is left for such changes.
    return std::min(shared_burst(limit), unused / covered_changes * m_share);
}

void allowance_book::set_share(double share, time_point now) {
    if (share == m_share) {
        return;
    }
    m_share = share;
    for (auto& [workspace, held] : m_entries) {
        held.bucket.set_rate(shared_rate(held.limit), shared_burst(held.limit), now);
        add_to_first_level(held, now);
    }
}

/// A process that gives out a larger part than ever before, since it coordinates now, begins with that part's
/// level, less what it had before.
void allowance_book::add_to_first_level(entry& to, time_point now) const {
    const double level = first_level(to.limit);
    if (level > to.first_level) {
        to.bucket.charge(to.first_level - level, now);
        to.first_level = level;
    }
}

void allowance_book::set_limit(workspace_key workspace, allowance limit, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end()) {
        found->second.limit = limit;
        found->second.bucket.set_rate(shared_rate(limit), shared_burst(limit), now);
        return;
    }
    token_bucket bucket(shared_rate(limit), shared_burst(limit), now);
    const double level = first_level(limit);
    bucket.charge(shared_burst(limit) - level, now);
    m_entries.emplace(workspace, entry{limit, bucket, level});
}

double allowance_book::left_to_higher(const entry& of, double units, int rank) const {
    const double bucket = shared_burst(of.limit);
    if (bucket <= 0) {
        return 0;
    }
    const double weight = std::min(1.0, units / bucket / small_part);
    return bucket * weight * std::min(most_left_to_higher, left_per_rank * rank);
}

bool allowance_book::try_take(workspace_key workspace, double units, int rank, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end() || found->second.limit.rate <= 0) {
        return true;
    }
    auto& held = found->second;
    const bool leaves_enough =
        held.bucket.time_until(units + left_to_higher(held, units, rank), now) == duration::zero();
    return leaves_enough && held.bucket.try_take(units, now);
}

double allowance_book::available(workspace_key workspace, double units, int rank, time_point now) const {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end()) {
        return 0;
    }
    return found->second.bucket.level_at(now) - left_to_higher(found->second, units, rank);
}

void allowance_book::give_back(workspace_key workspace, double units, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end() && units > 0) {
        found->second.bucket.charge(-units, now);
    }
}

duration allowance_book::time_until(workspace_key workspace, double units, int rank, time_point now) const {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end()) {
        return duration::zero();
    }
    return found->second.bucket.time_until(units + left_to_higher(found->second, units, rank), now);
}

} // namespace borageford::policy
