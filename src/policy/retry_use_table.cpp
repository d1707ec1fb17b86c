// Keeps the latest use of each process.
#include "policy/retry_use_table.hpp"

namespace borageford::policy {

void retry_use_table::merge(const retry_use& use, time_point now) {
    std::erase_if(m_uses, [&](const auto& entry) { return !counts(entry.second, now); });
    if (!counts(use, now)) {
        return;
    }
    auto& known = m_uses[{use.source, use.service}];
    if (use.revision > known.revision) {
        known = use;
    }
}

double retry_use_table::total(service_key service, time_point now) const {
    double result = 0;
    for (const auto& [key, use] : m_uses) {
        result += key.second == service && counts(use, now) ? use.retries : 0;
    }
    return result;
}

std::vector<retry_use> retry_use_table::list(time_point now) const {
    std::vector<retry_use> result;
    for (const auto& [key, use] : m_uses) {
        if (counts(use, now)) {
            result.push_back(use);
        }
    }
    return result;
}

} // namespace borageford::policy
