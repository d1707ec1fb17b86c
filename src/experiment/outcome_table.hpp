// Records how the requests of an experiment ended for their callers, and summarizes them by group of callers
// and by second.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

using std::chrono::milliseconds;

/// How a request ended for its caller, after all its attempts.
enum class outcome : std::uint8_t {
    in_time, ///< answered completely, and its first event came within the latency target
    late,    ///< answered completely, but its first event came after the latency target
    refused, ///< refused at the last attempt, or no time was left for a retry
    failed,  ///< no complete answer: a truncated answer, an error, a passed deadline, or no connection
    left,    ///< its caller disconnected early
};
inline constexpr std::size_t outcome_count = 5;

[[nodiscard]] std::string_view to_string(outcome what) noexcept;

/// One request of a caller, with all its attempts.
struct finished_request {
    std::size_t group = 0; ///< index in outcome_table::groups()
    outcome what = outcome::failed;
    milliseconds begun{0};       ///< when it was first sent, since the experiment's begin
    milliseconds first_event{0}; ///< from the first attempt to the first event
    milliseconds total{0};       ///< from the first attempt to the end
    unsigned attempts = 1;       ///< attempts of the caller
    unsigned status = 0;         ///< HTTP status of the last answer; 0: none
    std::string id;              ///< of the last attempt
};

/// All finished requests of an experiment.
class outcome_table {
public:
    explicit outcome_table(std::vector<std::string> groups) : m_groups(std::move(groups)) {}

    void add(finished_request request) { m_requests.push_back(std::move(request)); }

    /// Counts and times of a subset of the requests, for example of one group.
    struct summary {
        std::size_t requests = 0;
        std::array<std::size_t, outcome_count> by_outcome{};
        // Quantiles of the time from the first attempt to the first event, over requests that were answered
        // completely.
        milliseconds first_event_p50{0};
        milliseconds first_event_p95{0};
        milliseconds first_event_p99{0};

        /// The share of requests with this outcome, between 0 and 1.
        [[nodiscard]] double share(outcome what) const;
    };
    [[nodiscard]] summary of_group(std::size_t group) const;
    [[nodiscard]] summary of_all() const;
    /// Over the requests that were first sent from `begin` on and before `end`.
    [[nodiscard]] summary of_time(milliseconds begin, milliseconds end) const;
    /// One summary for each second of the experiment, over the requests that were first sent in that second.
    [[nodiscard]] std::vector<summary> by_second() const;

    [[nodiscard]] const std::vector<std::string>& groups() const noexcept { return m_groups; }
    [[nodiscard]] const std::vector<finished_request>& requests() const noexcept { return m_requests; }

private:
    std::vector<std::string> m_groups;
    std::vector<finished_request> m_requests;
};

} // namespace borageford::experiment
