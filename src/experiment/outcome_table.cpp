// Counts the outcomes of the recorded requests, and computes quantiles of their times to the first event.
#include "experiment/outcome_table.hpp"

#include <algorithm>
#include <functional>

namespace borageford::experiment {

namespace {

constexpr double middle = 0.5;
constexpr double high = 0.95;
constexpr double highest = 0.99;

/// `at` is between 0 and 1; 0 ms when there are no values.
milliseconds quantile(const std::vector<milliseconds>& sorted, double at) {
    if (sorted.empty()) {
        return milliseconds(0);
    }
    const auto place = static_cast<std::size_t>(at * static_cast<double>(sorted.size()));
    return sorted[std::min(place, sorted.size() - 1)];
}

/// Summarizes the requests for which `concerns` returns true.
outcome_table::summary summarize(const std::vector<finished_request>& requests,
                                 const std::function<bool(const finished_request&)>& concerns) {
    outcome_table::summary result;
    std::vector<milliseconds> first;
    for (const auto& request : requests) {
        if (!concerns(request)) {
            continue;
        }
        ++result.requests;
        ++result.by_outcome.at(static_cast<std::size_t>(request.what));
        if (request.what == outcome::in_time || request.what == outcome::late) {
            first.push_back(request.first_event);
        }
    }
    std::ranges::sort(first);
    result.first_event_p50 = quantile(first, middle);
    result.first_event_p95 = quantile(first, high);
    result.first_event_p99 = quantile(first, highest);
    return result;
}

} // namespace

std::string_view to_string(outcome what) noexcept {
    constexpr std::array<std::string_view, outcome_count> names{"in time", "late", "refused", "failed",
                                                                "left"};
    return names.at(static_cast<std::size_t>(what));
}

double outcome_table::summary::share(outcome what) const {
    const auto count = by_outcome.at(static_cast<std::size_t>(what));
    return requests == 0 ? 0 : static_cast<double>(count) / static_cast<double>(requests);
}

outcome_table::summary outcome_table::of_group(std::size_t group) const {
    return summarize(m_requests, [group](const auto& request) { return request.group == group; });
}

outcome_table::summary outcome_table::of_all() const {
    return summarize(m_requests, [](const auto&) { return true; });
}

outcome_table::summary outcome_table::of_time(milliseconds begin, milliseconds end) const {
    return summarize(m_requests, [begin, end](const auto& request) {
        return request.begun >= begin && request.begun < end;
    });
}

std::vector<outcome_table::summary> outcome_table::by_second() const {
    std::chrono::seconds last{-1};
    for (const auto& request : m_requests) {
        last = std::max(last, std::chrono::floor<std::chrono::seconds>(request.begun));
    }
    std::vector<summary> result;
    for (std::chrono::seconds second{0}; second <= last; ++second) {
        result.push_back(summarize(m_requests, [second](const auto& request) {
            return std::chrono::floor<std::chrono::seconds>(request.begun) == second;
        }));
    }
    return result;
}

} // namespace borageford::experiment
