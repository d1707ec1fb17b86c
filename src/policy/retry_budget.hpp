// Limits the retries of an entry process to a fraction of the first attempts, so that a failure doesn't cause
// a retry storm. Used by entries, which place requests at sidecars; gateways use server_retry_budget.
#pragma once

namespace borageford::policy {

/// Invariant: in any period, retries don't exceed `share` of the first attempts in it plus `reserve`.
class retry_budget {
public:
    explicit retry_budget(double share = 0.1, double reserve = 10) noexcept;

    /// Records that a request is placed for the first time.
    void record_first_attempt() noexcept;

    /// Takes one retry from the budget. False when none is left: the caller should be answered with the
    /// error.
    [[nodiscard]] bool try_retry() noexcept;

private:
    double m_share;
    double m_reserve;
    double m_left;
};

} // namespace borageford::policy
