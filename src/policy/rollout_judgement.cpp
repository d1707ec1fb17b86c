// Implements rollout_judgement, a cumulative sum (CUSUM) test: each answer of the new version adds its
// log-likelihood ratio.
#include "policy/rollout_judgement.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// An answer is slow if it takes more than this many times the previous version's mean time.
constexpr double slow_factor = 3;
/// No answer counts as slow before this many times of the previous version have been measured; the mean of
/// fewer times is too uncertain.
constexpr std::size_t least_timed = 20;
/// Number of good answers that are added to the previous version's counted answers (a prior), so that a few
/// bad answers at the start don't give it a large share of bad answers.
constexpr double assumed_good = 20;
/// Bounds of the previous version's estimated share of bad answers. Neither a share of 0 nor one of 1 has a
/// finite log-likelihood ratio.
constexpr double least_share = 0.01;
constexpr double most_share = 0.9;
/// The alternative hypothesis of the test: a worse version's share of bad answers is that of the previous
/// version times `worse_factor`, plus `worse_by`.
constexpr double worse_by = 0.1;
constexpr double worse_factor = 1.5;

} // namespace

bool rollout_judgement::is_slow(const version_answer& answer) const {
    if (m_former_timed < least_timed) {
        return false;
    }
    const double mean = m_former_seconds / static_cast<double>(m_former_timed);
    return to_seconds(answer.time) > slow_factor * mean;
}

double rollout_judgement::former_share() const {
    const double share = static_cast<double>(m_former_bad) / (static_cast<double>(m_former) + assumed_good);
    return std::clamp(share, least_share, most_share / worse_factor - worse_by);
}

void rollout_judgement::record_former(const version_answer& answer) {
    ++m_former;
    m_former_bad += answer.has_failed || is_slow(answer) ? 1 : 0;
    if (!answer.has_failed) {
        ++m_former_timed;
        m_former_seconds += to_seconds(answer.time);
    }
}

void rollout_judgement::record_next(const version_answer& answer) {
    const bool is_bad_answer = answer.has_failed || is_slow(answer);
    ++m_next;
    m_next_bad += is_bad_answer ? 1 : 0;
    const double usual = former_share();
    const double worse = usual * worse_factor + worse_by;
    const double step = is_bad_answer ? std::log(worse / usual) : std::log((1 - worse) / (1 - usual));
    m_suspicion = std::max(0.0, m_suspicion + step);
}

} // namespace borageford::policy
