// How the requests of an experiment ended for their callers, by callers' group and by second.
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

enum class outcome : std::uint8_t {
    in_time,
    late,    ///< whole, but its first event came after the target
    refused, ///< the last answer was a refusal
    failed,  ///< no whole answer: cut, an error, or no connection
    left,    ///< its caller gave up
};
inline constexpr std::size_t outcome_count = 5;

[[nodiscard]] std::string_view to_string(outcome what) noexcept;

/// One request of a caller, with all its returns.
struct finished_request {
    std::size_t group = 0;
    outcome what = outcome::failed;
    milliseconds begun{0};       ///< since the experiment's begin
    milliseconds first_event{0}; ///< since the caller first sent it
    milliseconds total{0};
    unsigned tries = 1; ///< sends by the caller
    unsigned status = 0;
    std::string id; ///< of the last send
};

class outcome_table {
public:
    explicit outcome_table(std::vector<std::string> groups) : m_groups(std::move(groups)) {}

    void add(finished_request request) { m_requests.push_back(std::move(request)); }

    struct summary {
        std::size_t requests = 0;
        std::array<std::size_t, outcome_count> by_outcome{};
        milliseconds first_p50{0}; ///< of whole answers
        milliseconds first_p95{0};
        milliseconds first_p99{0};

        [[nodiscard]] double share(outcome what) const;
    };
    [[nodiscard]] summary of_group(std::size_t group) const;
    [[nodiscard]] summary of_all() const;
    /// One for each second in which requests began.
    [[nodiscard]] std::vector<summary> by_second() const;

    [[nodiscard]] const std::vector<std::string>& groups() const noexcept { return m_groups; }
    [[nodiscard]] const std::vector<finished_request>& requests() const noexcept { return m_requests; }

private:
    std::vector<std::string> m_groups;
    std::vector<finished_request> m_requests;
};

} // namespace borageford::experiment
