// Admits requests within the limits of their workspaces, and limits how many requests this entry places
// again by itself after a failed start.
#pragma once

#include "configuration/configuration.hpp"
#include "configuration/difference.hpp"
#include "entry/call.hpp"
#include "policy/retry_budget.hpp"
#include "policy/workspace_limits.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace borageford::entry {

class admission;

/// Counts one admitted request against its workspace's limits until the permit is destroyed. The admission
/// and the call that the permit refers to must outlive it.
class admission_permit {
public:
    admission_permit(admission& owner, const call& request) noexcept : m_owner(owner), m_call(request) {}
    ~admission_permit();
    admission_permit(const admission_permit&) = delete;
    admission_permit& operator=(const admission_permit&) = delete;
    admission_permit(admission_permit&&) = delete;
    admission_permit& operator=(admission_permit&&) = delete;

    /// Sets how many tokens the request actually used; 0 unless set. The difference to the estimate is
    /// settled when the permit is destroyed.
    void set_used_tokens(double tokens) noexcept { m_used_tokens = tokens; }

private:
    admission& m_owner;
    const call& m_call;
    double m_used_tokens = 0;
};

/// Enforces this entry's share of the workspaces' limits: the configured limits hold for the whole system
/// and are divided among its live entries. Thread-safe.
class admission {
public:
    /// Replaces the limits with those of a configuration and divides them among `live_entries` entries.
    /// Workspaces that the configuration no longer has are dropped.
    void update(const configuration::configuration& current, unsigned live_entries);

    /// Counts the request as in progress until the permit is destroyed. Throws request_error(rate_limited)
    /// or request_error(concurrency_limited), with the time after which the caller may retry.
    [[nodiscard]] admission_permit admit(const call& request);

    /// Returns whether a request that was started but did not run may be placed again, and counts the retry.
    /// When it returns false, the caller gets the error instead.
    [[nodiscard]] bool try_retry();

    /// The number of requests in progress at this entry, for each workspace of the current configuration.
    [[nodiscard]] std::vector<configuration::workspace_use> use() const;

private:
    friend class admission_permit;
    void finish(const call& request, double used_tokens);

    mutable std::mutex m_mutex;
    policy::workspace_limits m_limits;     ///< guarded by m_mutex
    policy::retry_budget m_retries;        ///< guarded by m_mutex
    std::vector<std::string> m_workspaces; ///< workspaces of the current configuration; guarded by m_mutex
};

/// The number of tokens that a request is expected to use: those of its prompt plus its expected output.
[[nodiscard]] double estimated_tokens(const call& request) noexcept;

} // namespace borageford::entry
