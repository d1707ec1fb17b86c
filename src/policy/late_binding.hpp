// Placement by offers: a request is offered first to the home servers of its prompt's prefix and then to
// other servers, until one grants it.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

/// Parameters of the placement. A home is a server that a prefix is preferably sent to, so that it is
/// prefilled there only once.
struct late_binding_settings {
    /// Homes of each prefix.
    std::size_t homes = 2;
    /// Delay of the offer to each further home after the previous one. Offered at the same time, both homes
    /// would grant about equally often, and every prefix would be prefilled on both.
    duration further_home_delay = std::chrono::milliseconds(80);
    /// Delay of the first offers to servers that aren't homes, which are made in groups; the wait before each
    /// further group doubles, and from the third group on the size of the group doubles. With a shorter
    /// delay, any server would grant a waiting request, and its prefix would be prefilled on that server too.
    duration others_delay = std::chrono::milliseconds(250);
    /// Servers in the first group.
    std::size_t first_group_size = 2;
    /// The first group consists of the best of this many random candidates. If every entry process always
    /// chose the best of all candidates, all of them would choose the same server.
    std::size_t sample_size = 6;
    /// A home is skipped (bounded load) when its expected wait exceeds both this time and `busy_factor` times
    /// the shortest expected wait of all candidates.
    duration busy_wait = std::chrono::milliseconds(1000);
    double busy_factor = 4;
    /// Homes are preferably servers that can prefill the complete prompt within this fraction of the
    /// first-token target.
    double prefill_share = 0.7;
};

/// The placement policy.
///
/// Invariant: a plan contains every candidate once; candidates of other regions come after all candidates of
/// the request's own region.
class late_binding {
public:
    late_binding() = default;
    explicit late_binding(late_binding_settings settings) : m_settings(settings) {}

    [[nodiscard]] placement_plan plan(const placement_request& request,
                                      std::span<const placement_candidate> candidates) const;

private:
    late_binding_settings m_settings;
};

} // namespace borageford::policy
