// Time as the decisions see it: always an argument, never read from a clock.
#pragma once

#include <algorithm>
#include <chrono>

namespace borageford::policy {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

[[nodiscard]] constexpr double to_seconds(duration span) noexcept {
    return std::chrono::duration<double>(span).count();
}

/// Longer times come out as this one, some thirty years: callers tell sizes of their own, and an expectation
/// made of an absurd one must stay a long time instead of wrapping round to a negative one. Several can be
/// added up.
inline constexpr double longest_seconds = 1e9;

[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept {
    const double bounded = std::clamp(seconds, -longest_seconds, longest_seconds);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bounded));
}

} // namespace borageford::policy
