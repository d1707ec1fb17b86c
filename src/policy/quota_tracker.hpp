// Tracks how much of its quota each workspace has left, in the process that grants slots to the requests of
// that workspace.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/token_bucket.hpp"

#include <cstddef>
#include <unordered_map>

namespace borageford::policy {

/// Configured quota of a workspace. The unit is the one configured for the workspace: requests or tokens.
struct quota {
    double rate = 0; ///< units a second; 0: unlimited
    /// Capacity of the token bucket, in units.
    double burst = 0;
};

/// How far the use of a workspace may exceed its quota.
struct quota_limits {
    /// Time window in which the use is compared with the quota.
    duration window = std::chrono::seconds(8);
    double tolerance = 0.1; ///< Fraction by which the use in one window may exceed the quota.
    double slack = 0;       ///< Further units by which the use in one window may exceed the quota.
};

/// Token buckets by workspace. The quota of a workspace holds over all processes together, but a bucket is
/// lost when the process that keeps it stops. A new bucket therefore starts with only a fraction of the
/// tolerance instead of a full burst, so that several changes of the coordinator within one window don't
/// exceed the tolerance.
class quota_tracker {
public:
    explicit quota_tracker(quota_limits limits) : m_limits(limits) {}

    /// Sets the fraction of every quota that this process may grant. It is below 1 while other processes may
    /// grant the remaining fraction.
    void set_share(double share, time_point now);

    /// Adds a workspace or changes its quota; keeps the bucket's level when the workspace is known.
    void set_limit(workspace_key workspace, quota limit, time_point now);
    void remove(workspace_key workspace) { m_entries.erase(workspace); }

    /// Takes the units from the bucket of the workspace if there are enough, and returns whether it did. A
    /// workspace without a quota always succeeds. `rank` orders the requests of one workspace, 0 being the
    /// highest; see rank_in_workspace(). A request of a lower rank must leave a part of the bucket to the
    /// higher ranks: first come, first served would let a workspace that exceeds its quota get its
    /// long-running, cheap requests served and its urgent ones refused.
    [[nodiscard]] bool try_take(workspace_key workspace, double units, int rank, time_point now);
    /// Units that a request of this rank and size could take now; negative while the bucket is in debt; 0 for
    /// an unknown workspace.
    [[nodiscard]] double available(workspace_key workspace, double units, int rank, time_point now) const;
    /// Returns units to the bucket that were taken for a request that didn't run.
    void refund(workspace_key workspace, double units, time_point now);
    /// Time until try_take() can succeed; zero for an unknown workspace; `duration::max()` when it never
    /// will, see token_bucket::time_until().
    [[nodiscard]] duration time_until(workspace_key workspace, double units, int rank, time_point now) const;

private:
    struct entry {
        quota limit;
        token_bucket bucket;
        /// Units that the bucket has been given as its initial level, at the largest share so far.
        double initial_level = 0;
    };

    [[nodiscard]] double initial_level(const quota& limit) const;
    void raise_to_initial_level(entry& to, time_point now) const;
    [[nodiscard]] double reserved_for_higher_ranks(const entry& of, double units, int rank) const;
    [[nodiscard]] double shared_rate(const quota& limit) const;
    [[nodiscard]] double shared_burst(const quota& limit) const;

    quota_limits m_limits;
    double m_share = 1;
    std::unordered_map<workspace_key, entry> m_entries;
};

} // namespace borageford::policy
