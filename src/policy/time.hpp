// Time as the decisions see it: always an argument, never read from a clock.
#pragma once

#include <chrono>

namespace borageford::policy {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

[[nodiscard]] constexpr double to_seconds(duration span) noexcept {
    return std::chrono::duration<double>(span).count();
}

[[nodiscard]] constexpr duration from_seconds(double seconds) noexcept {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace borageford::policy
