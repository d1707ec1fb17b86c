// Compares the requests that an emulated server got with the rate limits that it named.
#pragma once

#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <span>

namespace borageford::emulator {

/// From this time on, a server's answers name this rate limit.
struct named_limit {
    policy::time_point at;
    std::optional<double> per_second; ///< requests per second; nothing: the answers name no limit
};

/// How many requests a server may get.
struct rate_limit_terms {
    policy::duration window = std::chrono::seconds(4);
    double tolerance = 1.5; ///< factor on the named limit
    double allowance = 5;   ///< requests in addition to that, in one window
    /// How long after a server first named a limit, or a lower one, the limit has to be kept.
    policy::duration settling_time = std::chrono::seconds(3);
};

/// The window with the most requests beyond what was allowed, or nearest to that.
struct rate_limit_window {
    policy::time_point begin;
    std::size_t requests = 0;
    double allowed = 0;

    [[nodiscard]] double excess() const noexcept { return static_cast<double>(requests) - allowed; }
};

/// Whether a window, given by its begin and end, doesn't count.
using window_excuse = std::function<bool(policy::time_point, policy::time_point)>;

/// Returns the worst window; nothing if the server named no limit for long enough. Both lists are in order of
/// time. Where the limit changed within a window or shortly before it, the largest one counts.
[[nodiscard]] std::optional<rate_limit_window> find_worst_window(std::span<const policy::time_point> arrivals,
                                                                 std::span<const named_limit> named,
                                                                 const rate_limit_terms& terms = {},
                                                                 const window_excuse& is_excused = {});

} // namespace borageford::emulator
