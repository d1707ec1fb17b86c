// Bounds an entry's own retries to a share of the first tries, so that a failure isn't answered by a storm.
#pragma once

namespace borageford::policy {

/// Invariant: over any stretch, retries are at most `share` of the first tries plus `reserve`.
class retry_budget {
public:
    explicit retry_budget(double share = 0.1, double reserve = 10) noexcept;

    /// A request is placed for the first time.
    void record_first_try() noexcept;

    /// Whether a request may be placed again; false: answer its caller with the error instead.
    [[nodiscard]] bool try_retry() noexcept;

private:
    double m_share;
    double m_reserve;
    double m_left;
};

} // namespace borageford::policy
