// Implements the power-of-two-choices policy on load reports that may be out of date.
#include "policy/power_of_two.hpp"

#include "policy/random_sequence.hpp"

namespace borageford::policy {
namespace {

std::uint64_t requests_at(const placement_candidate& candidate) {
    std::uint64_t requests = candidate.own_requests_since;
    if (candidate.load) {
        requests += candidate.load->queued_requests;
        requests += candidate.load->running_sequences;
    }
    return requests;
}

} // namespace

placement_plan power_of_two::plan(const placement_request& request,
                                  std::span<const placement_candidate> candidates) const {
    if (candidates.empty()) {
        return {};
    }
    random_sequence random(request.seed);
    const auto first = random.below(candidates.size());
    auto second = first;
    if (candidates.size() > 1) {
        // The second index is drawn from all candidates but the first, so that every pair is equally likely.
        second = random.below(candidates.size() - 1);
        second += second >= first ? 1 : 0;
    }
    const bool is_second_better = requests_at(candidates[second]) < requests_at(candidates[first]);
    return {.offers = {{.candidate = is_second_better ? second : first}}};
}

} // namespace borageford::policy
