// Ranks the candidates as homes and by expected first-token time, and schedules the offers.
#include "policy/late_binding.hpp"

#include "policy/random_sequence.hpp"
#include "policy/rendezvous.hpp"

#include <algorithm>
#include <numeric>

namespace borageford::policy {
namespace {

/// Load reports older than this are ignored for the expected wait.
constexpr auto max_report_age = std::chrono::seconds(5);
/// Assumed wait of a server without a recent report; neither attractive nor prohibitive.
constexpr double unknown_wait_seconds = 0.1;
/// Assumed prefill rate in tokens per second when no candidate has a measured one.
constexpr double unmeasured_prefill_rate = 4000;
/// Added to the expected first-token time of a server in another failure domain of the region; it decides
/// between otherwise equal servers.
constexpr double other_domain_penalty_seconds = 0.005;
/// A server counts as holding the prefix when it has cached at least this fraction of the prompt. A smaller
/// cached part may be a preamble that all prompts share.
constexpr double cached_share = 0.7;

/// A candidate with the values that its rank depends on.
struct assessed_candidate {
    std::size_t index = 0;
    bool is_own_region = true;
    bool fits_target = true; ///< can prefill the prompt in time if it starts at once
    double wait_seconds = 0;
    double first_token_seconds = 0;
    double home_score = 0;
    bool is_eligible_home = false; ///< in the request's region and not too busy
    bool holds_prefix = false;
};

double mean_prefill_rate(std::span<const placement_candidate> candidates) {
    double sum = 0;
    std::size_t measured = 0;
    for (const auto& candidate : candidates) {
        if (candidate.load && candidate.load->prefill_tokens_per_second > 0) {
            sum += candidate.load->prefill_tokens_per_second;
            ++measured;
        }
    }
    return measured > 0 ? sum / static_cast<double>(measured) : unmeasured_prefill_rate;
}

double prefill_rate_of(const placement_candidate& candidate, double mean) {
    const bool is_measured = candidate.load && candidate.load->prefill_tokens_per_second > 0;
    return is_measured ? candidate.load->prefill_tokens_per_second : mean;
}

double wait_of(const placement_candidate& candidate) {
    if (candidate.load && candidate.load->age < max_report_age) {
        return to_seconds(candidate.load->expected_wait);
    }
    return unknown_wait_seconds;
}

std::vector<assessed_candidate> assess(const placement_request& request,
                                       std::span<const placement_candidate> candidates,
                                       double prefill_share) {
    const double mean = mean_prefill_rate(candidates);
    std::vector<assessed_candidate> assessed;
    assessed.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        const double rate = prefill_rate_of(candidate, mean);
        const auto cached = std::min(candidate.cached_tokens, request.prompt_tokens);
        const double prefill_seconds = (request.prompt_tokens - cached) / rate;
        const bool is_own_domain = candidate.failure_domain == request.failure_domain;
        assessed_candidate result;
        result.index = index;
        result.is_own_region = candidate.region == request.region;
        result.fits_target = prefill_seconds <= prefill_share * to_seconds(request.first_token_target);
        result.wait_seconds = wait_of(candidate);
        result.first_token_seconds =
            result.wait_seconds + prefill_seconds + (is_own_domain ? 0 : other_domain_penalty_seconds);
        if (request.home_key) {
            result.home_score = rendezvous_score(*request.home_key, candidate.name_hash, rate);
        }
        result.holds_prefix = cached > 0 && cached >= cached_share * request.prompt_tokens;
        assessed.push_back(result);
    }
    return assessed;
}

/// Order of preference of homes: eligible ones first, then those fast enough for the target, then those that
/// hold the prefix, then by rendezvous hashing.
bool is_better_home(const assessed_candidate& left, const assessed_candidate& right) {
    if (left.is_eligible_home != right.is_eligible_home) {
        return left.is_eligible_home;
    }
    if (left.fits_target != right.fits_target) {
        return left.fits_target;
    }
    if (left.holds_prefix != right.holds_prefix) {
        return left.holds_prefix;
    }
    return left.home_score > right.home_score;
}

/// Order of preference of servers that aren't homes: the request's region first, then by expected first-token
/// time.
bool is_better_other(const assessed_candidate& left, const assessed_candidate& right) {
    if (left.is_own_region != right.is_own_region) {
        return left.is_own_region;
    }
    return left.first_token_seconds < right.first_token_seconds;
}

/// Sorts the homes to the front; returns their number.
std::size_t choose_homes(std::vector<assessed_candidate>& assessed, const late_binding_settings& settings) {
    const auto least = std::ranges::min_element(assessed, {}, &assessed_candidate::wait_seconds);
    const double busy_wait =
        std::max(to_seconds(settings.busy_wait), settings.busy_factor * least->wait_seconds);
    for (auto& candidate : assessed) {
        candidate.is_eligible_home = candidate.is_own_region && candidate.wait_seconds <= busy_wait;
    }
    std::ranges::sort(assessed, is_better_home);
    const auto eligible_count = std::ranges::count(assessed, true, &assessed_candidate::is_eligible_home);
    return std::min(settings.homes, static_cast<std::size_t>(eligible_count));
}

/// Sorts `sample_size` random candidates of the request's region to the front and the remaining candidates
/// behind them, both by expected first-token time.
void order_others(std::span<assessed_candidate> others, std::size_t sample_size, std::uint64_t seed) {
    std::ranges::sort(others, is_better_other);
    const auto own_region = std::ranges::find(others, false, &assessed_candidate::is_own_region);
    const auto own_count = static_cast<std::size_t>(own_region - others.begin());
    random_sequence random(seed);
    for (std::size_t place = 0; place < std::min(sample_size, own_count); ++place) {
        std::swap(others[place], others[place + random.below(own_count - place)]);
    }
    const auto sample_end = std::min(sample_size, own_count);
    std::ranges::sort(others.first(sample_end), is_better_other);
    std::ranges::sort(others.subspan(sample_end), is_better_other);
}

} // namespace

placement_plan late_binding::plan(const placement_request& request,
                                  std::span<const placement_candidate> candidates) const {
    placement_plan plan;
    if (candidates.empty()) {
        return plan;
    }
    auto assessed = assess(request, candidates, m_settings.prefill_share);
    const std::size_t homes = request.home_key ? choose_homes(assessed, m_settings) : 0;
    for (std::size_t place = 0; place < homes; ++place) {
        plan.offers.push_back({assessed[place].index, place * m_settings.further_home_delay});
    }
    const auto others = std::span(assessed).subspan(homes);
    order_others(others, m_settings.sample_size, request.seed);
    duration after = homes > 0 ? m_settings.others_delay : duration{};
    duration pause = 2 * m_settings.others_delay;
    std::size_t group = m_settings.first_group_size;
    std::size_t remaining_in_group = group;
    std::size_t groups = 1;
    for (const auto& other : others) {
        if (remaining_in_group == 0) {
            after += pause;
            pause *= 2;
            group *= ++groups > 2 ? 2 : 1;
            remaining_in_group = group;
        }
        plan.offers.push_back({other.index, after});
        --remaining_in_group;
    }
    return plan;
}

} // namespace borageford::policy
