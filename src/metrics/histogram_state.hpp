// The state of a histogram: fixed buckets, which a metrics collector can add up over processes, and quantiles
// of this process, which Boost.Accumulators estimates. It is separate from registry.hpp to keep
// Boost.Accumulators, which is slow to compile, out of that header.
#pragma once

#include "metrics/registry.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

namespace borageford::metrics {

/// Upper bounds of the buckets in seconds. 0.068 and 1.1 are the default targets for the time between tokens
/// and for the first token; with a bucket at each target, the share of samples within the target is exact.
inline constexpr std::array bucket_bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.068, 0.1,  0.25,
                                          0.5,   1.0,    1.1,   2.5,  5.0,   10.0, 30.0,  60.0, 300.0};

/// The quantiles that are estimated for each histogram, as fractions.
inline constexpr std::array<double, 4> estimated_quantiles{0.5, 0.9, 0.95, 0.99};

/// The bucket counts of a histogram.
struct histogram_summary {
    std::uint64_t count = 0; ///< number of samples
    double sum = 0;          ///< sum of all samples in seconds
    /// Number of samples less than or equal to each bound in bucket_bounds.
    std::array<std::uint64_t, bucket_bounds.size()> cumulative{};
};

/// The data behind a histogram.
///
/// Invariant: `m_mutex` guards all other members. It is held only to add one sample, to copy the counts or to
/// compute a quantile, and never while code outside of this class is called.
struct histogram::state {
public:
    state();
    void record(double seconds);
    [[nodiscard]] histogram_summary summary() const;
    [[nodiscard]] double quantile(double fraction) const;

private:
    // Number of samples that the P-square estimator needs to initialise its markers. Until then the samples
    // themselves are kept in m_first_samples and quantiles are exact.
    static constexpr std::size_t marker_count = 2 * estimated_quantiles.size() + 3;

    using accumulators = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::min, boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square>>;

    [[nodiscard]] double exact_quantile(std::size_t samples, double fraction) const;
    [[nodiscard]] double estimated_quantile(double fraction) const;

    mutable std::mutex m_mutex;
    accumulators m_accumulators;
    std::array<double, marker_count> m_first_samples{};
    std::array<std::uint64_t, bucket_bounds.size() + 1> m_buckets{};
};

} // namespace borageford::metrics
