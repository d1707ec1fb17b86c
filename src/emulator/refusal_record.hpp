// Compares what callers were told of requests that may run at most once with what emulated servers did.
#pragma once

#include "emulator/recorded_arrival.hpp"

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::emulator {

/// The arrivals at one server, in order of time. Not owned.
using server_arrivals = std::span<const recorded_arrival>;

/// What became of refusals. A request is broken if it ran twice, or ran though its caller was told that it
/// hadn't.
struct refusal_counts {
    std::size_t refused = 0;                ///< by servers
    std::size_t returned_to_server = 0;     ///< arrivals at a server that had refused the request
    std::size_t returned_on_connection = 0; ///< of these, on the connection of that refusal
    std::size_t ran_twice = 0;
    std::size_t ran_though_refused = 0;
    std::size_t broken_refused_first = 0; ///< broken ones whose first arrival was refused
    /// Broken ones that ran on a connection on which the same server had refused them.
    std::size_t broken_on_connection = 0;
    std::vector<std::string> broken_ids; ///< in ascending order

    [[nodiscard]] std::size_t broken() const noexcept { return broken_ids.size(); }
};

/// `at_most_once` and `told_not_run` are ids: of the requests that may run once, and of those whose callers
/// were told that they hadn't run.
[[nodiscard]] refusal_counts count_refusals(std::span<const server_arrivals> servers,
                                            const std::set<std::string, std::less<>>& at_most_once,
                                            const std::set<std::string, std::less<>>& told_not_run);

} // namespace borageford::emulator
