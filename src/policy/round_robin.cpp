// Chooses the candidates in turn, by the request's sequence number.
#include "policy/round_robin.hpp"

namespace borageford::policy {

placement_plan round_robin::plan(const placement_request& request,
                                 std::span<const placement_candidate> candidates) const {
    if (candidates.empty()) {
        return {};
    }
    return {.offers = {{.candidate = request.sequence % candidates.size()}}};
}

} // namespace borageford::policy
