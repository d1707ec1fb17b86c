// A cumulative sum of log-likelihood ratios.
#include "policy/rollout_judgement.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::policy {

namespace {

/// An answer counts as slow from so many times the former version's mean on.
constexpr double slow_factor = 3;
/// Until then nothing is known of how long answers take.
constexpr std::size_t least_timed = 20;
/// Answers that the former version is assumed to have given well before any was seen.
constexpr double assumed_good = 20;
constexpr double least_share = 0.01;
constexpr double most_share = 0.9;
/// A version is worse if its share of bad answers is that of the former one, and as much more as this.
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
