// The plan of a measurement's load: which requests arrive at which times. It depends only on the options and
// their seed, so every placement policy is measured under the same load.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::test {

/// An interval of the run in which the arrival rate is multiplied by a factor.
struct load_burst {
    double start_seconds = 0;  ///< seconds after the start of the run
    double length_seconds = 0; ///< duration in seconds
    double factor = 1;
};

/// Parameters of a load plan. Prompts contain chapters of an archive; several requests may be about the same
/// chapter.
struct load_options {
    std::uint64_t seed = 1;
    double seconds = 60;             ///< length of the run
    double requests_per_second = 20; ///< outside the burst
    load_burst burst;
    /// Share of the requests that are about a new chapter. Every other request is about a recent chapter of
    /// its workspace.
    double new_chapter_share = 0.3;
    /// Bounds of a chapter's length in tokens. Lengths are drawn from a bounded Pareto distribution.
    double min_chapter_tokens = 40;
    double max_chapter_tokens = 4000;
    double chapter_exponent = 0.8; ///< exponent of the distribution
    /// Bounds of the output tokens of a request for beta-reading notes, drawn from a bounded Pareto
    /// distribution as well. A summary has a quarter and tags a tenth of the drawn number.
    double min_notes_tokens = 80;
    double max_notes_tokens = 800;
    double notes_exponent = 1.3; ///< exponent of the distribution
    /// Share of the requests whose caller loses the connection during the answer and sends the request again.
    double lost_connection_share = 0.02;
};

/// One request of the plan.
struct planned_request {
    double at = 0; ///< arrival, in seconds after the start of the run
    unsigned workspace = 0;
    unsigned tier = 0;
    std::size_t chapter = 0; ///< number of the chapter in the prompt
    unsigned entry = 0;      ///< a random number; its remainder by the number of entries chooses the entry
    std::string body;        ///< JSON body, different for each request
    std::uint64_t prompt_bytes = 0;
    unsigned output_tokens = 0;
    bool loses_connection = false;
};

/// Numbers of workspaces and tiers. scripts/measure configures as many.
inline constexpr unsigned workspace_count = 5;
inline constexpr unsigned tier_count = 4;

/// Totals of a plan. scripts/measure compares them with the engines' capacity to choose the arrival rate.
struct load_summary {
    std::size_t requests = 0;
    double prompt_tokens = 0;
    /// Prompt tokens that no cache can hold yet, so that at least one engine has to prefill them: neither the
    /// preamble of the workspace nor a chapter that an earlier request was about.
    double fresh_prompt_tokens = 0;
    double output_tokens = 0;
};

/// The requests of a run and their totals.
struct load_plan {
    std::vector<planned_request> requests; ///< in the order of arrival
    load_summary summary;
};

/// Draws a plan; the same options always give the same plan.
[[nodiscard]] load_plan make_load_plan(const load_options& options);

} // namespace borageford::test
