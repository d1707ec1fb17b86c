// Adds samples to a histogram and computes its bucket counts and quantiles.
#include "metrics/histogram_state.hpp"

#include <algorithm>
#include <cmath>

namespace borageford::metrics {

namespace accumulator = boost::accumulators;

histogram::state::state()
    : m_accumulators(accumulator::tag::extended_p_square::probabilities = estimated_quantiles) {}

void histogram::state::record(double seconds) {
    // A single infinite or NaN sample, for example from a division by zero in the caller, would make the sum
    // useless until the process restarts. Negative samples, which a clock that was set back could cause,
    // count as zero.
    if (!std::isfinite(seconds)) {
        return;
    }
    const double sample = std::max(seconds, 0.0);
    const auto bucket = std::ranges::lower_bound(bucket_bounds, sample) - bucket_bounds.begin();
    const std::scoped_lock lock(m_mutex);
    const auto sample_count = accumulator::count(m_accumulators);
    if (sample_count < m_first_samples.size()) {
        m_first_samples.at(sample_count) = sample;
    }
    m_accumulators(sample);
    ++m_buckets.at(static_cast<std::size_t>(bucket));
}

histogram_summary histogram::state::summary() const {
    const std::scoped_lock lock(m_mutex);
    histogram_summary out;
    out.count = accumulator::count(m_accumulators);
    out.sum = accumulator::sum(m_accumulators);
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < out.cumulative.size(); ++index) {
        total += m_buckets.at(index);
        out.cumulative.at(index) = total;
    }
    return out;
}

double histogram::state::quantile(double fraction) const {
    const std::scoped_lock lock(m_mutex);
    const auto samples = accumulator::count(m_accumulators);
    const double bounded = std::clamp(fraction, 0.0, 1.0);
    if (samples <= m_first_samples.size()) {
        return exact_quantile(samples, bounded);
    }
    return estimated_quantile(bounded);
}

double histogram::state::exact_quantile(std::size_t samples, double fraction) const {
    if (samples == 0) {
        return 0;
    }
    auto sorted = m_first_samples;
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(samples));
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(samples)));
    return sorted.at(std::max<std::size_t>(rank, 1) - 1);
}

double histogram::state::estimated_quantile(double fraction) const {
    const auto estimates = accumulator::extended_p_square(m_accumulators);
    double lower_fraction = 0;
    double lower = accumulator::min(m_accumulators);
    for (std::size_t index = 0; index < estimated_quantiles.size(); ++index) {
        const double upper_fraction = estimated_quantiles.at(index);
        const double upper = estimates[static_cast<std::ptrdiff_t>(index)];
        if (fraction <= upper_fraction) {
            return std::lerp(lower, upper, (fraction - lower_fraction) / (upper_fraction - lower_fraction));
        }
        lower_fraction = upper_fraction;
        lower = upper;
    }
    return std::lerp(lower, accumulator::max(m_accumulators),
                     (fraction - lower_fraction) / (1.0 - lower_fraction));
}

} // namespace borageford::metrics
