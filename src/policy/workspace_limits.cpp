// Uses two token buckets and a count of requests in progress for each workspace.
#include "policy/workspace_limits.hpp"

#include <algorithm>

namespace borageford::policy {
namespace {

/// Weight of a new sample in the mean duration.
constexpr double new_sample_weight = 0.1;
/// Burst of the token limit, in seconds of its rate: a single report costs more tokens than one second
/// provides.
constexpr double token_burst_seconds = 10;

} // namespace

void workspace_limits::set_live_entries(unsigned count, time_point now) {
    m_live_entries = std::max(1U, count);
    for (auto& [workspace, used] : m_usages) {
        share(used, now);
    }
}

void workspace_limits::set_limit(std::string_view workspace, const workspace_limit& limit, time_point now) {
    auto found = m_usages.find(workspace);
    if (found == m_usages.end()) {
        found = m_usages.emplace(std::string(workspace), usage{}).first;
        found->second.limit = limit;
        share(found->second, now);
        // A new workspace starts with full buckets.
        const double all = -std::max(limit.tokens_per_second * token_burst_seconds,
                                     limit.request_burst + limit.requests_per_second);
        found->second.requests.charge(all, now);
        found->second.tokens.charge(all, now);
        return;
    }
    if (found->second.limit != limit) {
        found->second.limit = limit;
        share(found->second, now);
    }
}

void workspace_limits::remove(std::string_view workspace) {
    const auto found = m_usages.find(workspace);
    if (found != m_usages.end()) {
        m_usages.erase(found);
    }
}

std::optional<limit_refusal> workspace_limits::try_begin(std::string_view workspace, double tokens,
                                                         time_point now) {
    const auto found = m_usages.find(workspace);
    if (found == m_usages.end()) {
        return std::nullopt;
    }
    auto& used = found->second;
    const auto& limit = used.limit;
    if (limit.concurrent_requests > 0 && used.in_progress >= concurrency_share(used)) {
        return limit_refusal{error_kind::concurrency_limited, from_seconds(used.mean_seconds)};
    }
    // A request that costs more than the burst waits for a full bucket instead of being refused for ever.
    const double burst = limit.tokens_per_second * token_burst_seconds / m_live_entries;
    const double needed = std::min(tokens, burst);
    if (limit.tokens_per_second > 0) {
        const auto wait = used.tokens.time_until(needed, now);
        if (wait > duration::zero()) {
            return limit_refusal{error_kind::rate_limited, wait};
        }
    }
    if (limit.requests_per_second > 0 && !used.requests.try_take(1, now)) {
        return limit_refusal{error_kind::rate_limited, used.requests.time_until(1, now)};
    }
    if (limit.tokens_per_second > 0) {
        used.tokens.charge(tokens, now);
    }
    ++used.in_progress;
    return std::nullopt;
}

void workspace_limits::finish(std::string_view workspace, double estimated_tokens, double used_tokens,
                              duration took, time_point now) {
    const auto found = m_usages.find(workspace);
    if (found == m_usages.end() || found->second.in_progress == 0) {
        return; // the workspace was removed since the request began, and perhaps added again
    }
    auto& used = found->second;
    --used.in_progress;
    used.mean_seconds += new_sample_weight * (to_seconds(took) - used.mean_seconds);
    if (used.limit.tokens_per_second > 0) {
        used.tokens.charge(used_tokens - estimated_tokens, now);
    }
}

unsigned workspace_limits::in_progress(std::string_view workspace) const {
    const auto found = m_usages.find(workspace);
    return found == m_usages.end() ? 0 : found->second.in_progress;
}

void workspace_limits::share(usage& used, time_point now) const {
    const auto& limit = used.limit;
    const double burst = limit.request_burst > 0 ? limit.request_burst : limit.requests_per_second;
    // A burst below one request would never admit any request.
    used.requests.set_rate(limit.requests_per_second / m_live_entries, std::max(1.0, burst / m_live_entries),
                           now);
    used.tokens.set_rate(limit.tokens_per_second / m_live_entries,
                         limit.tokens_per_second * token_burst_seconds / m_live_entries, now);
}

unsigned workspace_limits::concurrency_share(const usage& used) const {
    return std::max(1U, used.limit.concurrent_requests / m_live_entries);
}

} // namespace borageford::policy
