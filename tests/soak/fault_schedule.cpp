// Draws faults at random: all kinds are equally likely, and some faults are repeated at another target while
// the first is still in effect.
#include "soak/fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <stdexcept>

namespace borageford::soak {

namespace {

/// A kind of fault and its name on the command line.
struct kind_row {
    fault_kind kind;
    std::string_view name;
};

constexpr std::array kind_names{
    kind_row{fault_kind::gateway_killed, "gateway_killed"},
    kind_row{fault_kind::gateway_frozen, "gateway_frozen"},
    kind_row{fault_kind::gateway_stopped, "gateway_stopped"},
    kind_row{fault_kind::gateway_reloaded, "gateway_reloaded"},
    kind_row{fault_kind::all_gateways_killed, "all_gateways_killed"},
    kind_row{fault_kind::store_busy, "store_busy"},
    kind_row{fault_kind::store_over_rate, "store_over_rate"},
    kind_row{fault_kind::store_resetting, "store_resetting"},
    kind_row{fault_kind::store_silent, "store_silent"},
    kind_row{fault_kind::store_slow, "store_slow"},
    kind_row{fault_kind::store_forgets, "store_forgets"},
    kind_row{fault_kind::store_path_cut, "store_path_cut"},
    kind_row{fault_kind::store_path_silenced, "store_path_silenced"},
    kind_row{fault_kind::server_crashed, "server_crashed"},
    kind_row{fault_kind::server_hangs, "server_hangs"},
    kind_row{fault_kind::server_fails, "server_fails"},
    kind_row{fault_kind::server_refuses, "server_refuses"},
    kind_row{fault_kind::server_cuts_unanswered, "server_cuts_unanswered"},
    kind_row{fault_kind::server_cuts_midway, "server_cuts_midway"},
    kind_row{fault_kind::server_garbles, "server_garbles"},
    kind_row{fault_kind::server_answers_twice, "server_answers_twice"},
    kind_row{fault_kind::server_unframed, "server_unframed"},
    kind_row{fault_kind::server_slow, "server_slow"},
    kind_row{fault_kind::server_drains, "server_drains"},
    kind_row{fault_kind::server_path_reset, "server_path_reset"},
    kind_row{fault_kind::server_path_silenced, "server_path_silenced"},
    kind_row{fault_kind::server_path_held, "server_path_held"},
    kind_row{fault_kind::server_path_delayed, "server_path_delayed"},
    kind_row{fault_kind::configuration_grows, "configuration_grows"},
    kind_row{fault_kind::configuration_moves_route, "configuration_moves_route"},
    kind_row{fault_kind::server_restarts_in_place, "server_restarts_in_place"},
    kind_row{fault_kind::foreign_entries, "foreign_entries"},
    kind_row{fault_kind::store_returns, "store_returns"},
    kind_row{fault_kind::server_limits_rate, "server_limits_rate"},
    kind_row{fault_kind::server_repeats_refusals, "server_repeats_refusals"},
    kind_row{fault_kind::server_answers_unasked, "server_answers_unasked"},
    kind_row{fault_kind::server_runs_unavailable, "server_runs_unavailable"},
};
static_assert(kind_names.size() == static_cast<std::size_t>(fault_kind::last_kind) + 1);

/// Average time between the begins of two faults, so that two or three are in effect most of the time.
constexpr milliseconds mean_gap{500};
/// Shortest and longest duration of a fault.
constexpr milliseconds min_length{300};
constexpr milliseconds max_length{3000};
/// Duration of server_drains: much longer than gateways need to learn of it, so that check_draining() sees
/// requests that reach the server too late.
constexpr milliseconds draining_length{6500};
/// No fault begins in this time before the soak's end, so that the last faults end before it.
constexpr milliseconds calm_end{1000};
/// Share of the faults that are repeated at the next gateway or server while they are still in effect.
constexpr double series_share = 0.3;
/// Rate limits last longer than other faults, as each window in which requests are counted lasts 4 s, and has
/// to begin 3 s after the limit was first named.
constexpr milliseconds mean_limit_gap{3000};
constexpr milliseconds min_limit_length{6000};
constexpr milliseconds max_limit_length{14000};
/// The limits, in requests per second, of which one is drawn.
constexpr std::array limits{0.0, 0.5, 1.0, 2.0, 5.0, 20.0};
/// Share of the limits that change to another one in the middle.
constexpr double changed_limits_share = 0.5;
/// Added to the seed, so that limits are drawn from numbers of their own.
constexpr std::uint64_t limit_seed = 0x11a17;

template <typename Value>
Value draw(std::mt19937_64& random, Value least, Value most) {
    return std::uniform_int_distribution<Value>(least, most)(random);
}

planned_fault draw_fault(std::mt19937_64& random, const schedule_size& size,
                         const std::vector<fault_kind>& kinds, milliseconds at) {
    planned_fault fault;
    fault.kind = kinds[draw<std::size_t>(random, 0, kinds.size() - 1)];
    fault.at = at;
    const auto left = size.length - calm_end - at;
    fault.length = milliseconds(draw<std::int64_t>(random, min_length.count(), max_length.count()));
    if (fault.kind == fault_kind::server_drains) {
        fault.length = draining_length;
    }
    fault.length = std::min(fault.length, std::max(left, min_length));
    const bool is_of_gateway = fault.kind <= fault_kind::gateway_reloaded ||
                               fault.kind == fault_kind::store_path_cut ||
                               fault.kind == fault_kind::store_path_silenced;
    fault.target = draw<std::size_t>(random, 0, (is_of_gateway ? size.gateways : size.servers) - 1);
    return fault;
}

std::vector<fault_kind> kinds_of(schedule_version version) {
    const auto last =
        version == schedule_version::first ? fault_kind::server_limits_rate : fault_kind::last_kind;
    std::vector<fault_kind> result;
    for (const auto& row : kind_names) {
        if (row.kind <= last) {
            result.push_back(row.kind);
        }
    }
    return result;
}

double draw_limit(std::mt19937_64& random) {
    return limits.at(draw<std::size_t>(random, 0, limits.size() - 1));
}

/// Draws the rate limits of all servers. One that changes in the middle is two faults, of which the second
/// begins where the first one ends.
std::vector<planned_fault> draw_limits(const schedule_size& size) {
    std::mt19937_64 random(size.seed + limit_seed);
    std::vector<planned_fault> result;
    const auto end = size.length - calm_end;
    for (auto at = mean_gap; at < end;
         at += milliseconds(draw<std::int64_t>(random, 1, 2 * mean_limit_gap.count()))) {
        planned_fault fault;
        fault.kind = fault_kind::server_limits_rate;
        fault.at = at;
        fault.length = milliseconds(draw(random, min_limit_length.count(), max_limit_length.count()));
        fault.length = std::min(fault.length, std::max(end - at, min_length));
        fault.target = draw<std::size_t>(random, 0, size.servers - 1);
        fault.per_second = draw_limit(random);
        result.push_back(fault);
        if (std::bernoulli_distribution(changed_limits_share)(random)) {
            result.back().length /= 2;
            fault.at += result.back().length;
            fault.length -= result.back().length;
            fault.per_second = draw_limit(random);
            result.push_back(fault);
        }
    }
    std::ranges::sort(result, {}, &planned_fault::at);
    return result;
}

std::vector<planned_fault> draw_other_faults(const schedule_size& size,
                                             const std::vector<fault_kind>& kinds) {
    std::mt19937_64 random(size.seed);
    std::vector<planned_fault> result;
    auto at = mean_gap;
    while (at < size.length - calm_end) {
        result.push_back(draw_fault(random, size, kinds, at));
        if (std::bernoulli_distribution(series_share)(random)) {
            auto again = result.back();
            again.target += 1;
            again.at += again.length / 2;
            again.length -= again.length / 2;
            result.push_back(again);
        }
        at += milliseconds(draw<std::int64_t>(random, 1, 2 * mean_gap.count()));
    }
    std::ranges::sort(result, {}, &planned_fault::at);
    return result;
}

} // namespace

std::string_view to_string(fault_kind kind) noexcept {
    const auto found = std::ranges::find(kind_names, kind, &kind_row::kind);
    return found != kind_names.end() ? found->name : "unknown";
}

fault_kind parse_fault_kind(std::string_view name) {
    const auto found = std::ranges::find(kind_names, name, &kind_row::name);
    if (found == kind_names.end()) {
        throw std::invalid_argument("no such fault: " + std::string(name));
    }
    return found->kind;
}

std::vector<planned_fault> draw_faults(const schedule_size& size) {
    auto kinds = size.kinds.empty() ? kinds_of(size.version) : size.kinds;
    const bool has_limits = std::erase(kinds, fault_kind::server_limits_rate) > 0;
    const auto others = kinds.empty() ? std::vector<planned_fault>() : draw_other_faults(size, kinds);
    const auto limits = has_limits ? draw_limits(size) : std::vector<planned_fault>();
    std::vector<planned_fault> result;
    std::ranges::merge(others, limits, std::back_inserter(result), {}, &planned_fault::at,
                       &planned_fault::at);
    return result;
}

} // namespace borageford::soak
