// The time types of the policy code. Policies receive the current time as an argument and never read a clock,
// so that tests can run them in virtual time.
#pragma once

#include <algorithm>
#include <chrono>

namespace borageford::policy {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// Converts a duration to fractional seconds.
[[nodiscard]] constexpr double to_seconds(duration span) noexcept {
    return std::chrono::duration<double>(span).count();
}

/// The upper bound of what from_seconds() returns, in seconds (about thirty years). Estimates can be made
/// from sizes that callers state freely. Without the bound, the conversion of an absurdly large estimate
/// would overflow, and the result would be a negative duration. The bound is low enough that several such
/// durations can be added without overflow.
inline constexpr double longest_seconds = 1e9;

/// Converts fractional seconds to a duration, clamped to +/- `longest_seconds`.
[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept {
    const double bounded = std::clamp(seconds, -longest_seconds, longest_seconds);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(bounded));
}

} // namespace borageford::policy
