// Each first attempt adds a fraction of a retry to the budget.
#include "policy/retry_budget.hpp"

#include <algorithm>

namespace borageford::policy {

retry_budget::retry_budget(double share, double reserve) noexcept
    : m_share(share), m_reserve(reserve), m_left(reserve) {}

void retry_budget::record_first_attempt() noexcept {
    m_left = std::min(m_reserve, m_left + m_share);
}

bool retry_budget::try_retry() noexcept {
    if (m_left < 1) {
        return false;
    }
    m_left -= 1;
    return true;
}

} // namespace borageford::policy
