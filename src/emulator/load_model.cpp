// Draws the requests of a load: the number of arrivals from a compound Poisson distribution, sizes from
// log-normal distributions.
#include "emulator/load_model.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

namespace borageford::emulator {

namespace {

/// The error of callers' guesses at the length of an answer: the standard deviation of the guess's logarithm.
constexpr double hint_spread = 0.5;
/// The length of the time slices within which the rate is constant.
constexpr std::chrono::milliseconds slice{10};

/// Draws a size with this mean; `spread` is the standard deviation of the logarithm.
double draw_size(std::mt19937_64& random, double mean, double spread, double most) {
    std::lognormal_distribution<double> sizes(std::log(mean) - spread * spread / 2, spread);
    return std::clamp(sizes(random), 1.0, most);
}

/// The product of the factors of all bursts that affect a class at a time.
double factor_at(const load_model& load, const request_class& of, duration at) {
    double factor = 1;
    for (const auto& burst : load.bursts) {
        const bool is_on = at >= burst.begin && at < burst.begin + burst.length;
        const bool concerns = burst.request_class.empty() || burst.request_class == of.name;
        factor *= is_on && concerns ? burst.factor : 1;
    }
    return factor;
}

} // namespace

std::vector<offered_request> draw_requests(const load_model& load, time_point start) {
    std::mt19937_64 random(load.seed);
    std::map<time_point, std::vector<offered_request>> by_time;
    for (std::size_t index = 0; index < load.classes.size(); ++index) {
        const auto& of = load.classes[index];
        for (duration at{}; at < load.length; at += slice) {
            const double expected = of.per_second * factor_at(load, of, at) * policy::to_seconds(slice);
            const auto groups = std::poisson_distribution<int>(expected / load.mean_group_size)(random);
            for (int group = 0; group < groups; ++group) {
                const auto count = std::poisson_distribution<int>(load.mean_group_size)(random);
                for (int number = 0; number < count; ++number) {
                    offered_request request;
                    request.request_class = index;
                    request.at = start + at;
                    request.prompt_tokens =
                        draw_size(random, of.prompt_tokens, of.prompt_spread, of.most_prompt_tokens);
                    request.output_tokens = static_cast<unsigned>(
                        draw_size(random, of.output_tokens, of.output_spread, of.most_output_tokens));
                    request.hinted_output =
                        draw_size(random, request.output_tokens, hint_spread, of.most_output_tokens);
                    by_time[request.at].push_back(request);
                }
            }
        }
    }
    std::vector<offered_request> requests;
    for (const auto& [at, together] : by_time) {
        std::ranges::copy(together, std::back_inserter(requests));
    }
    return requests;
}

} // namespace borageford::emulator
