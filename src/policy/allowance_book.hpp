// What each workspace may still use of its allowance, for whoever gives slots to all of its requests.
#pragma once

#include "policy/slot_request.hpp"
#include "policy/token_bucket.hpp"

#include <cstddef>
#include <unordered_map>

namespace borageford::policy {

/// A workspace's limit as configured, in its own units.
struct allowance {
    double rate = 0; ///< units a second; 0: unlimited
    double burst = 0;
};

struct allowance_limits {
    duration window = std::chrono::seconds(8); ///< over which the limit is judged
    double tolerance = 0.1;                    ///< share by which a window may go over it
    double slack = 0;                          ///< units by which a window may go over it besides
};

/// A bucket for each workspace. Limits hold over all processes together, although a bucket is lost with the
/// process that keeps it: a fresh bucket doesn't start full but with a part of the tolerance, so that some
/// changes of process within one window stay inside it.
class allowance_book {
public:
    explicit allowance_book(allowance_limits limits) : m_limits(limits) {}

    /// The part of every limit that this process may give out; less than 1 while others may give out the
    /// rest.
    void set_share(double share, time_point now);

    /// Adds a workspace or changes its limit.
    void set_limit(workspace_key workspace, allowance limit, time_point now);
    void remove(workspace_key workspace) { m_entries.erase(workspace); }

    /// Takes the units if they are there; workspaces without a limit always may. A request of a lower rank (0
    /// is the highest) leaves a part of the bucket to the higher ones of its workspace: with first come,
    /// first served, a workspace that sends more than it may had its long, cheap requests served and its
    /// urgent ones refused.
    [[nodiscard]] bool try_take(workspace_key workspace, double units, int rank, time_point now);
    /// Units that a request of this rank could take now; negative while the workspace is in debt.
    [[nodiscard]] double available(workspace_key workspace, double units, int rank, time_point now) const;
    /// Gives back what was taken for a request that didn't run.
    void give_back(workspace_key workspace, double units, time_point now);
    /// When the units will be there.
    [[nodiscard]] duration time_until(workspace_key workspace, double units, int rank, time_point now) const;

private:
    struct entry {
        allowance limit;
        token_bucket bucket;
        double first_level = 0; ///< that the bucket was given at its start, for the largest part so far
    };

    [[nodiscard]] double first_level(const allowance& limit) const;
    void add_to_first_level(entry& to, time_point now) const;
    [[nodiscard]] double left_to_higher(const entry& of, double units, int rank) const;
    [[nodiscard]] double shared_rate(const allowance& limit) const;
    [[nodiscard]] double shared_burst(const allowance& limit) const;

    allowance_limits m_limits;
    double m_share = 1;
    std::unordered_map<workspace_key, entry> m_entries;
};

} // namespace borageford::policy
