// What a histogram keeps: fixed buckets that collectors can add up over processes, and quantiles estimated
// by Boost.Accumulators for a reader of one process. Kept out of the public header for its compile time.
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

/// Upper bounds in seconds. 0.068 and 1.1 are the default targets between tokens and for the first token, so
/// that the share of samples within target can be read off exactly.
inline constexpr std::array bucket_bounds{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.068, 0.1,  0.25,
                                          0.5,   1.0,    1.1,   2.5,  5.0,   10.0, 30.0,  60.0, 300.0};

inline constexpr std::array<double, 4> estimated_quantiles{0.5, 0.9, 0.95, 0.99};

struct histogram_summary {
    std::uint64_t count = 0;
    double sum = 0; ///< seconds
    /// Samples at or below each bound.
    std::array<std::uint64_t, bucket_bounds.size()> cumulative{};
};

/// Invariant: everything is guarded by `m_mutex`, which is held for the update of one sample or the copy of
/// the counts, never over a call to other code.
struct histogram::state {
public:
    state();
    void record(double seconds);
    [[nodiscard]] histogram_summary summary() const;
    [[nodiscard]] double quantile(double share) const;

private:
    // The estimator needs this many samples before its markers mean anything; up to then the samples
    // themselves are kept and quantiles are exact.
    static constexpr std::size_t marker_count = 2 * estimated_quantiles.size() + 3;

    using accumulators = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::min, boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square>>;

    [[nodiscard]] double exact_quantile(std::size_t samples, double share) const;
    [[nodiscard]] double estimated_quantile(double share) const;

    mutable std::mutex m_mutex;
    accumulators m_accumulators;
    std::array<double, marker_count> m_first{};
    std::array<std::uint64_t, bucket_bounds.size() + 1> m_buckets{};
};

} // namespace borageford::metrics
