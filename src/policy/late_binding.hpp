// Placement by offers: first to the homes of the prompt's prefix, then to others, until one grants.
#pragma once

#include "policy/placement_values.hpp"

namespace borageford::policy {

struct late_binding_settings {
    std::size_t homes = 2;
    /// Each further home is asked this much after the one before it: asked at once, both would grant about
    /// equally often, and every prefix would be prefilled twice.
    duration next_home_delay = std::chrono::milliseconds(80);
    /// Others are asked this long after the first home, in groups; each wait for the next group is twice as
    /// long, and each group but the second twice as large. Asked sooner, a request that waits is granted
    /// anywhere, and its prefix is prefilled there too.
    duration others_delay = std::chrono::milliseconds(250);
    std::size_t first_group = 2;
    /// Of how many random candidates the first group is the best: an entry that always took the best of
    /// all would run to the same one as every other entry.
    std::size_t sampled = 6;
    /// A home whose expected wait is longer than this and than `busy_factor` times the least of all is left
    /// (bounded load).
    duration busy_wait = std::chrono::milliseconds(1000);
    double busy_factor = 4;
    /// Homes are chosen among those that can prefill the whole prompt within this part of the first-token
    /// target, if there are any.
    double prefill_share = 0.7;
};

/// Invariant: a plan names every candidate once; those of another region come after all of one's own.
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
