// Examines each window that begins with a retry.
#include "emulator/retry_excess.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <unordered_set>

namespace borageford::emulator {

namespace {

/// The arrivals that aren't the first of their request, in order of time.
std::vector<policy::time_point> find_retries(std::vector<recorded_arrival> arrivals) {
    std::ranges::sort(arrivals, {}, &recorded_arrival::at);
    std::unordered_set<std::string> known;
    std::vector<policy::time_point> retries;
    for (const auto& arrival : arrivals) {
        if (!known.insert(arrival.request_id).second) {
            retries.push_back(arrival.at);
        }
    }
    return retries;
}

std::size_t count_between(std::span<const policy::time_point> sorted, policy::time_point begin,
                          policy::time_point end) {
    const auto first = std::ranges::lower_bound(sorted, begin);
    return static_cast<std::size_t>(std::distance(first, std::ranges::lower_bound(sorted, end)));
}

} // namespace

std::optional<retry_window> find_worst_retry_window(std::vector<recorded_arrival> arrivals,
                                                    std::vector<policy::time_point> sent,
                                                    const retry_terms& terms) {
    std::ranges::sort(sent);
    const auto retries = find_retries(std::move(arrivals));
    std::optional<retry_window> worst;
    for (const auto begin : retries) {
        const auto end = begin + terms.window;
        const auto requests = static_cast<double>(count_between(sent, begin, end));
        const retry_window found{begin, count_between(retries, begin, end),
                                 terms.ratio * requests + terms.reserve};
        if (!worst.has_value() || found.excess() > worst->excess()) {
            worst = found;
        }
    }
    return worst;
}

} // namespace borageford::emulator
