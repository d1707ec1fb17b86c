// What became of requests that crash the servers that begin to answer them.
#pragma once

#include "policy/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <vector>

namespace borageford::emulator {

/// The requests of one kind that crash servers, at one server or at many.
struct fatal_record {
    std::vector<policy::time_point> arrivals; ///< when such requests reached servers
    std::vector<policy::time_point> crashes;

    void add(const fatal_record& other) {
        arrivals.insert(arrivals.end(), other.arrivals.begin(), other.arrivals.end());
        crashes.insert(crashes.end(), other.crashes.begin(), other.crashes.end());
    }

    /// What happened from `begin` on and before `end`.
    [[nodiscard]] fatal_record between(policy::time_point begin, policy::time_point end) const {
        fatal_record result;
        const auto is_between = [&](policy::time_point at) {
            return at >= begin && at < end;
        };
        std::ranges::copy_if(arrivals, std::back_inserter(result.arrivals), is_between);
        std::ranges::copy_if(crashes, std::back_inserter(result.crashes), is_between);
        return result;
    }

    /// How many such requests reached servers later than `known_after` after this many crashes, when every
    /// gateway has to know that they crash servers.
    [[nodiscard]] std::size_t count_late(std::size_t after_crashes,
                                         policy::duration known_after = std::chrono::seconds(3)) const {
        if (crashes.size() < after_crashes) {
            return 0;
        }
        auto sorted = crashes;
        std::ranges::sort(sorted);
        const auto known = sorted[after_crashes - 1] + known_after;
        return static_cast<std::size_t>(
            std::ranges::count_if(arrivals, [known](policy::time_point at) { return at > known; }));
    }
};

/// Crashes after which late arrivals count, by one request and by requests with one part.
inline constexpr std::size_t crashes_by_request = 3;
inline constexpr std::size_t crashes_by_part = 5;
/// Late arrivals that are tolerated in either case.
inline constexpr std::size_t tolerated_late_arrivals = 3;

} // namespace borageford::emulator
