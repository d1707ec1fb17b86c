// Compares the requests that emulated servers got more than once with what a retry budget allows.
#pragma once

#include "emulator/recorded_arrival.hpp"
#include "policy/time.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace borageford::emulator {

/// What a service may get in a window in addition to the first arrival of each request.
struct retry_terms {
    double ratio = 0.1;  ///< as a share of the requests that callers sent in the window
    double reserve = 10; ///< arrivals in addition to that share
    policy::duration window = std::chrono::seconds(10);
};

/// The window with the most arrivals beyond what was allowed, or nearest to that.
struct retry_window {
    policy::time_point begin;
    std::size_t retries = 0; ///< arrivals that weren't the first of their request
    double allowed = 0;

    [[nodiscard]] double excess() const noexcept { return static_cast<double>(retries) - allowed; }
};

/// Returns the worst window of one service; nothing if each request arrived once at most. `arrivals` are
/// those at all of its servers, `sent` is when callers sent each of its requests; both in any order.
[[nodiscard]] std::optional<retry_window> find_worst_retry_window(std::vector<recorded_arrival> arrivals,
                                                                  std::vector<policy::time_point> sent,
                                                                  const retry_terms& terms);

} // namespace borageford::emulator
