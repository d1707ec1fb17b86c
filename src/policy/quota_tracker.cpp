// Implements the quotas as token buckets whose rate and burst follow the share of this process.
#include "policy/quota_tracker.hpp"

#include <algorithm>

namespace borageford::policy {

namespace {

/// Changes of the coordinator within one window that the unused part of the tolerance must cover.
constexpr double covered_coordinator_changes = 3;
/// Fraction of the tolerance by which the buckets exceed the quota. A request is counted when it arrives, by
/// the most tokens that it may use, so buckets of exactly the quota would refuse workspaces that keep to it
/// whenever they send a burst. The other half of the tolerance covers what a new coordinator doesn't know
/// about the grants of its predecessor.
constexpr double used_tolerance = 0.5;
/// Fraction of a bucket that a request leaves untouched for each rank above its own.
constexpr double reserved_per_rank = 0.25;
/// Upper bound of the fraction that is left to higher ranks.
constexpr double max_reserved_for_higher_ranks = 0.75;
/// Requests that take a smaller fraction of the bucket than this leave a proportionally smaller reserve to
/// higher ranks, because they hardly affect others: a bookmark costs a workspace a twentieth of a summary.
constexpr double small_request_fraction = 0.02;

} // namespace

double quota_tracker::shared_rate(const quota& limit) const {
    return limit.rate * (1 + m_limits.tolerance * used_tolerance) * m_share;
}

double quota_tracker::shared_burst(const quota& limit) const {
    return limit.burst * (1 + m_limits.tolerance * used_tolerance) * m_share +
           m_limits.slack * used_tolerance * m_share;
}

double quota_tracker::initial_level(const quota& limit) const {
    const double window = to_seconds(m_limits.window);
    const double tolerated = m_limits.tolerance * (limit.rate * window + limit.burst) + m_limits.slack;
    const double unused = tolerated * (1 - used_tolerance);
    // Scaled by the share of this process. When all gateways restart together, each starts with a bucket of
    // its own before they have found the coordinator; with the full level each, they would together grant
    // many times what is reserved for such changes.
    return std::min(shared_burst(limit), unused / covered_coordinator_changes * m_share);
}

void quota_tracker::set_share(double share, time_point now) {
    if (share == m_share) {
        return;
    }
    m_share = share;
    for (auto& [workspace, held] : m_entries) {
        held.bucket.set_rate(shared_rate(held.limit), shared_burst(held.limit), now);
        raise_to_initial_level(held, now);
    }
}

/// Raises the bucket to the initial level for the current share, less what it was given before. This happens
/// when a process becomes coordinator and its share is larger than ever before.
void quota_tracker::raise_to_initial_level(entry& to, time_point now) const {
    const double level = initial_level(to.limit);
    if (level > to.initial_level) {
        to.bucket.charge(to.initial_level - level, now);
        to.initial_level = level;
    }
}

void quota_tracker::set_limit(workspace_key workspace, quota limit, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end()) {
        found->second.limit = limit;
        found->second.bucket.set_rate(shared_rate(limit), shared_burst(limit), now);
        return;
    }
    token_bucket bucket(shared_rate(limit), shared_burst(limit), now);
    const double level = initial_level(limit);
    bucket.charge(shared_burst(limit) - level, now);
    m_entries.emplace(workspace, entry{limit, bucket, level});
}

double quota_tracker::reserved_for_higher_ranks(const entry& of, double units, int rank) const {
    const double bucket = shared_burst(of.limit);
    if (bucket <= 0) {
        return 0;
    }
    const double weight = std::min(1.0, units / bucket / small_request_fraction);
    return bucket * weight * std::min(max_reserved_for_higher_ranks, reserved_per_rank * rank);
}

bool quota_tracker::try_take(workspace_key workspace, double units, int rank, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end() || found->second.limit.rate <= 0) {
        return true;
    }
    auto& held = found->second;
    const bool leaves_enough =
        held.bucket.time_until(units + reserved_for_higher_ranks(held, units, rank), now) == duration::zero();
    return leaves_enough && held.bucket.try_take(units, now);
}

double quota_tracker::available(workspace_key workspace, double units, int rank, time_point now) const {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end()) {
        return 0;
    }
    return found->second.bucket.level_at(now) - reserved_for_higher_ranks(found->second, units, rank);
}

void quota_tracker::refund(workspace_key workspace, double units, time_point now) {
    const auto found = m_entries.find(workspace);
    if (found != m_entries.end() && units > 0) {
        found->second.bucket.charge(-units, now);
    }
}

duration quota_tracker::time_until(workspace_key workspace, double units, int rank, time_point now) const {
    const auto found = m_entries.find(workspace);
    if (found == m_entries.end()) {
        return duration::zero();
    }
    return found->second.bucket.time_until(units + reserved_for_higher_ranks(found->second, units, rank),
                                           now);
}

} // namespace borageford::policy
