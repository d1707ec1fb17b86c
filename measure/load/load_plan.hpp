// The load that a measurement offers: which request arrives when, the same for every policy under one seed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// A stretch of the run in which requests arrive faster.
struct load_burst {
    double begins = 0; ///< seconds
    double lasts = 0;  ///< seconds
    double factor = 1;
};

struct load_options {
    std::uint64_t seed = 1;
    double seconds = 60;
    double requests_per_second = 20; ///< outside the burst
    load_burst burst;
    /// Share of arrivals that begin a new chapter; the others are another task on one of the latest.
    double new_chapter_share = 0.3;
    /// Tokens of a chapter, heavy-tailed between these bounds.
    double shortest_chapter = 40;
    double longest_chapter = 4000;
    double chapter_tail = 0.8; ///< exponent of the bounded Pareto distribution
    /// Output tokens of beta notes; summaries have a quarter, tags a tenth, of such a draw.
    double shortest_notes = 80;
    double longest_notes = 800;
    double notes_tail = 1.3;
    /// Share of callers that lose their connection in the middle of the answer and send again.
    double lost_connection_share = 0.02;
};

struct planned_request {
    double at = 0; ///< seconds after the run's begin
    unsigned workspace = 0;
    unsigned tier = 0;
    std::size_t chapter = 0;
    unsigned entry = 0; ///< a random number; the caller takes it modulo the entries
    std::string body;   ///< no two are alike
    std::uint64_t prompt_bytes = 0;
    unsigned output_tokens = 0;
    bool loses_connection = false;
};

/// Names of the workspaces and tiers, as scripts/measure configures them.
inline constexpr unsigned workspace_count = 5;
inline constexpr unsigned tier_count = 4;

/// What the plan asks of the engines, for setting the load against their capacity.
struct load_summary {
    std::size_t requests = 0;
    double prompt_tokens = 0;
    /// Prompt tokens that have to be prefilled at least once by somebody.
    double fresh_prompt_tokens = 0;
    double output_tokens = 0;
};

struct load_plan {
    std::vector<planned_request> requests; ///< in the order of arrival
    load_summary summary;
};

[[nodiscard]] load_plan make_load_plan(const load_options& options);

} // namespace borageford::test
