// What each workspace may use at one entry: requests and tokens a second and requests at once, its share
// of the limits that hold for the whole system.
#pragma once

#include "base/error_kind.hpp"
#include "policy/time.hpp"
#include "policy/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace borageford::policy {

/// Limits of the whole system; 0: none.
struct workspace_limit {
    double requests_per_second = 0;
    double request_burst = 0; ///< requests; 0: one second's worth
    double tokens_per_second = 0;
    unsigned concurrent_requests = 0;

    bool operator==(const workspace_limit&) const = default;
};

/// Why a request isn't let in, and when it may be.
struct limit_refusal {
    error_kind kind = error_kind::rate_limited;
    /// Until the rate allows it, or for concurrency the mean time that this workspace's requests take.
    duration retry_after{};
};

/// Invariant: requests in progress of a workspace never exceed its share of the concurrency limit, which is
/// at least one.
class workspace_limits {
public:
    /// How many live entries share the limits, this one included. Entries see the platform's list at
    /// different times, so for some seconds the shares may sum to a little more or less than the whole.
    void set_live_entries(unsigned count, time_point now);

    /// Puts a workspace's limits in force; what it has used so far still counts.
    void set_limit(std::string_view workspace, const workspace_limit& limit, time_point now);

    /// Forgets a workspace that the configuration doesn't have any more.
    void remove(std::string_view workspace);

    /// Lets a request in, to be ended by finish(); or says why not. `tokens` are the estimated ones.
    [[nodiscard]] std::optional<limit_refusal> try_begin(std::string_view workspace, double tokens,
                                                         time_point now);

    /// The request has ended, having used this many tokens instead of those estimated. A request that was
    /// refused afterwards used none.
    void finish(std::string_view workspace, double estimated_tokens, double used_tokens, duration took,
                time_point now);

    [[nodiscard]] unsigned in_progress(std::string_view workspace) const;

private:
    struct usage {
        workspace_limit limit;
        token_bucket requests{0, 0, {}};
        token_bucket tokens{0, 0, {}};
        unsigned in_progress = 0;
        double mean_seconds = 1; ///< of its requests
    };

    void share(usage& used, time_point now) const;
    [[nodiscard]] unsigned concurrency_share(const usage& used) const;

    unsigned m_live_entries = 1;
    std::map<std::string, usage, std::less<>> m_usages;
};

} // namespace borageford::policy
