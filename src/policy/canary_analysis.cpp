// Implements canary_analysis, a cumulative sum (CUSUM) test: each answer of the new version adds its
// log-likelihood ratio.
#include "policy/canary_analysis.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// An answer is slow if it takes more than this many times the previous version's mean time, and exceeds that
/// mean by more than `unnoticed_excess_s`.
constexpr double slow_factor = 3;
/// Callers don't notice a smaller delay, in seconds, and scheduling on a busy machine adds as much at random.
/// Without this limit a good version of a service that answers within a few milliseconds would be rolled back
/// whenever the machine is busy.
constexpr double unnoticed_excess_s = 0.05;
/// No answer counts as slow before this many times of the previous version have been measured; the mean of
/// fewer times is too uncertain.
constexpr std::size_t min_timed_answers = 20;
/// Number of good answers that are added to the previous version's counted answers (a prior), so that a few
/// bad answers at the start don't give it a large share of bad answers.
constexpr double prior_good_answers = 20;
/// The previous version's estimated share of bad answers is at least `min_bad_share` and so low that a worse
/// version's share stays below `max_bad_share`. With a share of 0 or 1, the log-likelihood ratio would be
/// infinite.
constexpr double min_bad_share = 0.01;
constexpr double max_bad_share = 0.9;
/// The alternative hypothesis of the test: a worse version's share of bad answers is that of the previous
/// version times `worse_factor`, plus `worse_offset`.
constexpr double worse_offset = 0.1;
constexpr double worse_factor = 1.5;

} // namespace

bool canary_analysis::is_slow(const version_answer& answer) const {
    if (m_previous_timed < min_timed_answers) {
        return false;
    }
    const double mean = m_previous_seconds / static_cast<double>(m_previous_timed);
    const double seconds = to_seconds(answer.time);
    return seconds > slow_factor * mean && seconds - mean > unnoticed_excess_s;
}

double canary_analysis::previous_bad_share() const {
    const double share =
        static_cast<double>(m_previous_bad) / (static_cast<double>(m_previous) + prior_good_answers);
    return std::clamp(share, min_bad_share, max_bad_share / worse_factor - worse_offset);
}

void canary_analysis::record_previous(const version_answer& answer) {
    ++m_previous;
    m_previous_bad += answer.has_failed || is_slow(answer) ? 1 : 0;
    if (!answer.has_failed) {
        ++m_previous_timed;
        m_previous_seconds += to_seconds(answer.time);
    }
}

void canary_analysis::record_new(const version_answer& answer) {
    const bool is_bad_answer = answer.has_failed || is_slow(answer);
    ++m_new;
    m_new_bad += is_bad_answer ? 1 : 0;
    const double usual_share = previous_bad_share();
    const double worse_share = usual_share * worse_factor + worse_offset;
    const double step =
        is_bad_answer ? std::log(worse_share / usual_share) : std::log((1 - worse_share) / (1 - usual_share));
    m_log_likelihood_ratio = std::max(0.0, m_log_likelihood_ratio + step);
}

} // namespace borageford::policy
