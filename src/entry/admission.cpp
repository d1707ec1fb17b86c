// Implements admission with policy::workspace_limits and policy::retry_budget, both guarded by one mutex.
#include "entry/admission.hpp"

#include "base/request_error.hpp"

#include <algorithm>

namespace borageford::entry {

using std::chrono::steady_clock;

double estimated_tokens(const call& request) noexcept {
    return static_cast<double>(request.prompt_tokens) + request.expected_output_tokens;
}

admission_permit::~admission_permit() {
    m_owner.finish(m_call, m_used_tokens);
}

void admission::update(const configuration::configuration& current, unsigned live_entries) {
    const auto now = steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    m_limits.set_live_entries(std::max(1U, live_entries), now);
    for (const auto& name : m_workspaces) {
        if (current.find_workspace(name) == nullptr) {
            m_limits.remove(name);
        }
    }
    m_workspaces.clear();
    for (const auto& workspace : current.workspaces) {
        m_limits.set_limit(workspace.name,
                           {workspace.requests_per_second, workspace.request_burst,
                            workspace.tokens_per_second, workspace.concurrent_requests},
                           now);
        m_workspaces.push_back(workspace.name);
    }
}

admission_permit admission::admit(const call& request) {
    const auto now = steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    const auto refusal = m_limits.try_begin(request.workspace->name, estimated_tokens(request), now);
    if (refusal) {
        throw request_error(refusal->kind, {},
                            std::chrono::ceil<std::chrono::milliseconds>(refusal->retry_after));
    }
    m_retries.record_first_attempt();
    return {*this, request};
}

void admission::finish(const call& request, double used_tokens) {
    const auto now = steady_clock::now();
    const std::scoped_lock lock(m_mutex);
    m_limits.finish(request.workspace->name, estimated_tokens(request), used_tokens, now - request.received,
                    now);
}

bool admission::try_retry() {
    const std::scoped_lock lock(m_mutex);
    return m_retries.try_retry();
}

std::vector<configuration::workspace_use> admission::use() const {
    const std::scoped_lock lock(m_mutex);
    std::vector<configuration::workspace_use> result;
    for (const auto& name : m_workspaces) {
        configuration::workspace_use entry;
        entry.workspace = name;
        entry.concurrent_requests = m_limits.in_progress(name);
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace borageford::entry
