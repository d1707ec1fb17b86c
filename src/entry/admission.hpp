// Lets requests in within their workspace's limits, and bounds this entry's own retries.
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

/// A request's place within its workspace's limits; given back when destroyed.
class admission_permit {
public:
    admission_permit(admission& owner, const call& request) noexcept : m_owner(owner), m_call(request) {}
    ~admission_permit();
    admission_permit(const admission_permit&) = delete;
    admission_permit& operator=(const admission_permit&) = delete;
    admission_permit(admission_permit&&) = delete;
    admission_permit& operator=(admission_permit&&) = delete;

    /// What the request really used; nothing unless set.
    void set_used_tokens(double tokens) noexcept { m_used_tokens = tokens; }

private:
    admission& m_owner;
    const call& m_call;
    double m_used_tokens = 0;
};

/// Thread-safe. The limits of the whole system are divided over the live entries.
class admission {
public:
    /// Puts a configuration's limits in force.
    void update(const configuration::configuration& current, unsigned live_entries);

    /// Counts the request in until the permit ends. Throws request_error: rate_limited or
    /// concurrency_limited, with when to come back.
    [[nodiscard]] admission_permit admit(const call& request);

    /// Whether a request may be placed again after a start that didn't run; otherwise its caller is told.
    [[nodiscard]] bool try_retry();

    /// What each workspace takes at this entry.
    [[nodiscard]] std::vector<configuration::workspace_use> use() const;

private:
    friend class admission_permit;
    void finish(const call& request, double used_tokens);

    mutable std::mutex m_mutex;
    policy::workspace_limits m_limits;     ///< guarded by m_mutex
    policy::retry_budget m_retries;        ///< guarded by m_mutex
    std::vector<std::string> m_workspaces; ///< those with limits; guarded by m_mutex
};

/// Estimated tokens of a request: its prompt and the output expected of it.
[[nodiscard]] double estimated_tokens(const call& request) noexcept;

} // namespace borageford::entry
