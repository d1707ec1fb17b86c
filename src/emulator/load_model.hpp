// A model of a load, from which requests are drawn at random: their times, sizes and latency targets.
#pragma once

#include "policy/time.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace borageford::emulator {

using policy::duration;
using policy::time_point;

/// A class of similar requests. Their sizes have log-normal distributions.
struct request_class {
    std::string name;
    int tier = 0;               ///< 0 is the highest
    double per_second = 1;      ///< mean rate of requests
    double prompt_tokens = 500; ///< mean
    double prompt_spread = 1;   ///< standard deviation of the logarithm
    double most_prompt_tokens = 40000;
    double output_tokens = 100; ///< mean
    double output_spread = 1.5; ///< standard deviation of the logarithm
    double most_output_tokens = 3000;
    duration target{};       ///< the longest time to the first event that counts as in time
    duration pause_target{}; ///< the longest pause between two events that counts as in time
    duration deadline{};     ///< when the caller gives up, after it first sent the request
    double worth = 1;        ///< value of an answer that is in time
    double late_worth = 0;   ///< value of a complete answer that is late
};

/// A time span in which the rate of requests is multiplied.
struct load_burst {
    duration begin{};
    duration length{};
    double factor = 1;
    std::string request_class; ///< request_class::name of the affected class; empty: all classes
};

/// A complete load.
struct load_model {
    std::vector<request_class> classes;
    std::vector<load_burst> bursts;
    duration length = std::chrono::seconds(30);
    double mean_group_size = 3; ///< requests that arrive together, on average
    std::uint64_t seed = 1;
};

/// One request that a caller sends.
struct offered_request {
    std::size_t request_class = 0; ///< index in load_model::classes
    time_point at;                 ///< when the caller sends it
    double prompt_tokens = 0;
    unsigned output_tokens = 1;
    double hinted_output = 1; ///< the caller's guess at output_tokens
};

/// Draws all requests, sorted by time. The result depends only on the model (which has the seed) and `start`.
[[nodiscard]] std::vector<offered_request> draw_requests(const load_model& load, time_point start);

} // namespace borageford::emulator
