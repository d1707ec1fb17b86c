// The requests of a trial: how many, how large, when, and what their callers count as served.
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

/// One kind of requests. Sizes are spread log-normally around their means.
struct request_class {
    std::string name;
    int tier = 0;
    double per_second = 1;
    double prompt_tokens = 500;
    double prompt_spread = 1; ///< of the logarithm
    double most_prompt_tokens = 40000;
    double output_tokens = 100;
    double output_spread = 1.5;
    double most_output_tokens = 3000;
    duration target{};       ///< to the first event
    duration pause_target{}; ///< between two events
    duration deadline{};
    double worth = 1;      ///< of an answer in time
    double late_worth = 0; ///< of a whole answer that was late
};

/// More traffic for a while, of one class or, with an empty name, of all.
struct load_burst {
    duration begin{};
    duration length{};
    double factor = 1;
    std::string request_class;
};

struct load_model {
    std::vector<request_class> classes;
    std::vector<load_burst> bursts;
    duration length = std::chrono::seconds(30);
    double clump = 3; ///< requests that arrive together, on average
    std::uint64_t seed = 1;
};

/// One request that a caller sends.
struct offered_request {
    std::size_t request_class = 0;
    time_point at;
    double prompt_tokens = 0;
    unsigned output_tokens = 1;
    double hinted_output = 1; ///< the caller's guess
};

/// All requests in the order of their times; the same for the same model.
[[nodiscard]] std::vector<offered_request> draw_requests(const load_model& load, time_point start);

} // namespace borageford::emulator
