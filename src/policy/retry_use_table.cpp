// Keeps the latest use of each process.
#include "policy/retry_use_table.hpp"

#include <chrono>

namespace borageford::policy {

namespace {

/// After all processes have started at once, a coordinator merges the uses of hundreds of them.
constexpr std::chrono::milliseconds expiry_period{1000};

} // namespace

void retry_use_table::expire(time_point now) {
    if (now - m_expired < expiry_period) {
        return;
    }
    m_expired = now;
    for (auto& [service, uses] : m_uses) {
        std::erase_if(uses, [&](const auto& entry) { return !counts(entry.second, now); });
    }
}

void retry_use_table::merge(const retry_use& use, time_point now) {
    expire(now);
    if (!counts(use, now)) {
        return;
    }
    auto& known = m_uses[use.service][use.source];
    if (use.revision > known.revision) {
        known = use;
    }
}

double retry_use_table::total(service_key service, time_point now) const {
    const auto found = m_uses.find(service);
    if (found == m_uses.end()) {
        return 0;
    }
    double result = 0;
    for (const auto& [source, use] : found->second) {
        result += counts(use, now) ? use.retries : 0;
    }
    return result;
}

std::vector<retry_use> retry_use_table::list(time_point now) const {
    std::vector<retry_use> result;
    for (const auto& [service, uses] : m_uses) {
        for (const auto& [source, use] : uses) {
            if (counts(use, now)) {
                result.push_back(use);
            }
        }
    }
    return result;
}

} // namespace borageford::policy
