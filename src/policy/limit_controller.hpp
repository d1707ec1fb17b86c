// Finds how much of one thing may be in progress at once so that a measured time stays within its target.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <vector>

namespace borageford::policy {

struct limit_controller_settings {
    double initial = 4;
    double minimum = 1;
    double maximum = 1024;
    /// The measured time that must hold for `quantile` of the samples, in seconds.
    double target_seconds = 1;
    double quantile = 0.95;
    /// A window is judged when it is this long and has this many samples, or is `longest_window` old.
    duration window = std::chrono::milliseconds(250);
    duration longest_window = std::chrono::seconds(1);
    std::size_t samples = 16;
};

/// Invariant: minimum <= limit() <= maximum.
///
/// Shrinks towards the amount that a proportional model says would meet the target, at most by half a
/// window: what is already in progress goes on after a cut, so a cut that looked only at the next samples
/// would go far too deep. Grows only while the limit binds, since an idle engine proves nothing.
class limit_controller {
public:
    explicit limit_controller(limit_controller_settings settings);

    /// A sample taken while `in_use` was in progress.
    void record(duration measured, double in_use, time_point now);

    [[nodiscard]] double limit() const noexcept { return m_limit; }
    void set_maximum(double maximum) noexcept;

private:
    void judge();
    void shrink(double measured);
    void grow(double measured);

    limit_controller_settings m_settings;
    double m_limit;
    bool m_has_shrunk = false; ///< until then the limit is still being searched for and grows faster
    time_point m_window_start{};
    std::vector<double> m_samples;
    double m_peak_use = 0; ///< within the window
};

} // namespace borageford::policy
