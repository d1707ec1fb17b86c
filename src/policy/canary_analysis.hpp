// Tests statistically whether a new version of a service's software is worse than the previous one.
#pragma once

#include "policy/time.hpp"

#include <cstddef>

namespace borageford::policy {

/// The result of one request at a server.
struct version_answer {
    bool has_failed = false;
    duration time{}; ///< until its first event, or until its end if it had no events
};

/// Compares the new version's answers with those that the previous version gives during the same time. A
/// burst of load, or a service that always fails some of its requests, affects both versions alike and
/// therefore doesn't count against the new one.
///
/// The test is a cumulative sum (CUSUM): each answer of the new version adds the logarithm of how much more
/// likely it is from a worse version than from one that is as good as the previous one. The sum is never
/// negative, so good answers at the beginning can't delay the rejection of a version that turns bad later.
class canary_analysis {
public:
    /// Records an answer of the previous version.
    void record_previous(const version_answer& answer);
    /// Records an answer of the new version.
    void record_new(const version_answer& answer);

    /// Number of recorded answers of the new version.
    [[nodiscard]] std::size_t seen() const noexcept { return m_new; }
    /// Number of the new version's answers that failed or were slow.
    [[nodiscard]] std::size_t bad() const noexcept { return m_new_bad; }
    /// Whether the new version is rejected.
    [[nodiscard]] bool is_bad() const noexcept { return m_log_likelihood_ratio >= reject_threshold; }
    /// Whether the new version is accepted: enough answers were recorded, and the cumulative sum is low.
    [[nodiscard]] bool is_good() const noexcept {
        return m_new >= min_answers && m_log_likelihood_ratio < accept_threshold;
    }

private:
    /// A cumulative sum of this value or more rejects the new version. The value, a likelihood ratio of more
    /// than a thousand to one, is so high that a good version is hardly ever rejected within several thousand
    /// answers.
    static constexpr double reject_threshold = 8;
    /// The new version can only be accepted while the cumulative sum is below this value.
    static constexpr double accept_threshold = 2;
    /// Number of the new version's answers that are needed to accept it.
    static constexpr std::size_t min_answers = 60;

    [[nodiscard]] bool is_slow(const version_answer& answer) const;
    /// The estimated share of bad answers of the previous version.
    [[nodiscard]] double previous_bad_share() const;

    std::size_t m_previous = 0;     ///< answers of the previous version
    std::size_t m_previous_bad = 0; ///< failed or slow answers of the previous version
    /// Successful answers of the previous version, whose times were measured.
    std::size_t m_previous_timed = 0;
    double m_previous_seconds = 0;     ///< sum of the measured times of the previous version
    std::size_t m_new = 0;             ///< answers of the new version
    std::size_t m_new_bad = 0;         ///< failed or slow answers of the new version
    double m_log_likelihood_ratio = 0; ///< cumulative sum of log-likelihood ratios, at least 0
};

} // namespace borageford::policy
