// How long the machine has been suspended.
#pragma once

#include <chrono>

namespace borageford {

/// The total time for which the machine was suspended since it started, to within a few microseconds. The
/// steady clock doesn't run during that time.
[[nodiscard]] std::chrono::nanoseconds suspended_time() noexcept;

} // namespace borageford
