// Feedback controller of a concurrency limit: finds the largest amount in progress at which a measured time
// stays within its target.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <vector>

namespace borageford::policy {

/// Range of the limit, target of the measured time, and length of the sample window.
struct limit_controller_settings {
    double initial = 4;
    double minimum = 1;
    double maximum = 1024;
    /// Target of the measured time in seconds, which `quantile` of the samples must meet.
    double target_seconds = 1;
    double quantile = 0.95;
    /// A window of samples is evaluated once it has lasted `window` and has `samples` samples, or once it has
    /// lasted `longest_window`.
    duration window = std::chrono::milliseconds(250);
    duration longest_window = std::chrono::seconds(1);
    std::size_t samples = 16;
};

/// Adjusts the limit after each window of samples.
///
/// When the target is missed, the limit shrinks towards the amount that a proportional model expects to meet
/// the target, but at most by half for each window. Work that is already in progress continues after the
/// limit was reduced, so a controller that only looked at the next samples would reduce it far too much. The
/// limit grows only while it is nearly used up, since short times on an idle engine don't show that a higher
/// limit would meet the target.
///
/// Invariant: minimum <= limit() <= maximum.
class limit_controller {
public:
    explicit limit_controller(limit_controller_settings settings);

    /// Records a sample that was measured while `in_use` was in progress.
    void record(duration measured, double in_use, time_point now);

    /// The current limit, in the unit of `in_use`.
    [[nodiscard]] double limit() const noexcept { return m_limit; }
    /// Changes the maximum; values below the minimum count as the minimum.
    void set_maximum(double maximum) noexcept;

private:
    void evaluate_window();
    void shrink(double measured);
    void grow(double measured);

    limit_controller_settings m_settings;
    double m_limit;
    bool m_has_shrunk = false; ///< Until then the initial limit is being searched for and grows faster.
    time_point m_window_start{};
    std::vector<double> m_samples;
    double m_peak_use = 0; ///< Largest amount in use within the current window.
};

} // namespace borageford::policy
