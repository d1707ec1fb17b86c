// Limits of each workspace at one entry process: requests per second, tokens per second and concurrent
// requests. Each entry process enforces its share of the system-wide limits.
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

/// System-wide limits of one workspace; 0: unlimited.
struct workspace_limit {
    double requests_per_second = 0;
    double request_burst = 0; ///< requests; 0: the requests of one second
    double tokens_per_second = 0;
    unsigned concurrent_requests = 0;

    bool operator==(const workspace_limit&) const = default;
};

/// Why a request is refused, and when it may be sent again.
struct limit_refusal {
    error_kind kind = error_kind::rate_limited;
    /// Time until the rate allows the request, or, for the concurrency limit, the mean duration of this
    /// workspace's requests.
    duration retry_after{};
};

/// Enforces the limits of all workspaces.
///
/// Invariant: the requests in progress of a workspace never exceed its share of the concurrency limit, which
/// is at least one.
class workspace_limits {
public:
    /// Sets the number of live entry processes that share the limits, including this one. Entry processes
    /// read the platform's list at different times, so for some seconds the shares may add up to slightly
    /// more or less than the limits.
    void set_live_entries(unsigned count, time_point now);

    /// Sets the limits of a workspace; its use so far still counts.
    void set_limit(std::string_view workspace, const workspace_limit& limit, time_point now);

    /// Removes a workspace that is no longer in the configuration.
    void remove(std::string_view workspace);

    /// Admits a request, which must be ended with finish(), or returns why it is refused. `tokens`: estimated
    /// tokens of the request. A workspace without limits is always admitted.
    [[nodiscard]] std::optional<limit_refusal> try_begin(std::string_view workspace, double tokens,
                                                         time_point now);

    /// Ends a request and corrects its estimated tokens to the tokens that it used: 0 if it was refused after
    /// its admission. `took`: duration of the request.
    void finish(std::string_view workspace, double estimated_tokens, double used_tokens, duration took,
                time_point now);

    [[nodiscard]] unsigned in_progress(std::string_view workspace) const;

private:
    struct usage {
        workspace_limit limit;
        token_bucket requests{0, 0, {}};
        token_bucket tokens{0, 0, {}};
        unsigned in_progress = 0;
        double mean_seconds = 1; ///< moving average of the duration of its requests
    };

    /// Sets the bucket rates to this process's share of the limits.
    void share(usage& used, time_point now) const;
    [[nodiscard]] unsigned concurrency_share(const usage& used) const;

    unsigned m_live_entries = 1;
    std::map<std::string, usage, std::less<>> m_usages;
};

} // namespace borageford::policy
