// Examines each window that begins with an arrival.
#include "emulator/rate_limit_excess.hpp"

#include <algorithm>
#include <ranges>

namespace borageford::emulator {

namespace {

/// The largest limit in force between two times; nothing if none was in force at some time between them.
std::optional<double> largest_limit(std::span<const named_limit> named, policy::time_point from,
                                    policy::time_point to) {
    std::optional<double> largest;
    auto end = policy::time_point::max();
    for (const auto& each : named | std::views::reverse) {
        const bool is_within = each.at <= to && end > from;
        if (is_within && !each.per_second.has_value()) {
            return std::nullopt;
        }
        if (is_within) {
            largest = std::max(largest.value_or(0), *each.per_second);
        }
        end = each.at;
    }
    return end <= from ? largest : std::nullopt;
}

} // namespace

std::optional<rate_limit_window> find_worst_window(std::span<const policy::time_point> arrivals,
                                                   std::span<const named_limit> named,
                                                   const rate_limit_terms& terms,
                                                   const window_excuse& is_excused) {
    std::optional<rate_limit_window> worst;
    auto last = arrivals.begin();
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        const auto end = *first + terms.window;
        last = std::lower_bound(last, arrivals.end(), end);
        const auto limit = largest_limit(named, *first - terms.settling_time, end);
        if (!limit.has_value() || (is_excused && is_excused(*first, end))) {
            continue;
        }
        const double allowed = terms.tolerance * *limit * policy::to_seconds(terms.window) + terms.allowance;
        const rate_limit_window found{*first, static_cast<std::size_t>(last - first), allowed};
        if (!worst.has_value() || found.excess() > worst->excess()) {
            worst = found;
        }
    }
    return worst;
}

} // namespace borageford::emulator
