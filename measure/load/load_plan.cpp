// Draws a load plan from one seeded generator: Poisson arrivals of requests that share chapters, so that
// engines can reuse cached prefixes.
#include "load/load_plan.hpp"

#include "base/hash.hpp"
#include "support/answer_text.hpp"

#include <array>
#include <cmath>
#include <deque>
#include <random>
#include <span>

namespace borageford::test {
namespace {

constexpr double bytes_per_token = 4;
/// Number of recent chapters of a workspace that further requests may be about.
constexpr std::size_t max_recent_chapters = 40;
/// Length of the instructions that begin every prompt of a workspace.
constexpr std::size_t preamble_bytes = 640;

/// Shares of the requests by workspace; the first two workspaces send most of them.
constexpr std::array<double, workspace_count> workspace_weights{0.4, 0.3, 0.12, 0.1, 0.08};
/// Shares of the requests by tier.
constexpr std::array<double, tier_count> tier_weights{0.15, 0.25, 0.3, 0.3};

/// What a request asks the model to do with its chapter.
struct task {
    std::string_view instruction;
    double relative_output; ///< output tokens relative to beta-reading notes
};
constexpr std::array<task, 3> tasks{task{"Summarise the chapter for its page.", 0.25},
                                    task{"Suggest tags for the chapter.", 0.1},
                                    task{"Write beta-reading notes for the author.", 1.0}};

class load_plan_generator {
public:
    explicit load_plan_generator(const load_options& options) : m_options(options), m_random(options.seed) {}

    load_plan make() {
        load_plan plan;
        double now = 0;
        while (true) {
            now += next_gap(now);
            if (now >= m_options.seconds) {
                return plan;
            }
            add_request(plan, now);
        }
    }

private:
    struct chapter {
        std::string text;
        std::size_t number = 0;
        std::size_t request_count = 0; ///< requests about this chapter so far
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    unsigned pick(std::span<const double> weights) {
        return static_cast<unsigned>(
            std::discrete_distribution<int>(weights.begin(), weights.end())(m_random));
    }

    /// A draw from the Pareto distribution bounded by `least` and `most`.
    double pareto(double least, double most, double exponent) {
        const double low = std::pow(least, -exponent);
        const double high = std::pow(most, -exponent);
        return std::pow(low - uniform() * (low - high), -1 / exponent);
    }

    /// Seconds until the next arrival.
    double next_gap(double now) {
        const auto& burst = m_options.burst;
        const bool in_burst = now >= burst.start_seconds && now < burst.start_seconds + burst.length_seconds;
        const double rate = m_options.requests_per_second * (in_burst ? burst.factor : 1);
        return std::exponential_distribution<double>(rate)(m_random);
    }

    /// Pseudo-random text that depends only on the name and the seed. Texts with different names have no
    /// block of tokens in common, so that no engine finds one of them in its prefix cache because of another.
    std::string make_text(std::string_view name, std::size_t bytes) {
        std::string text(name);
        text += ' ';
        std::uint64_t state = hash_bytes(name, m_options.seed);
        while (text.size() < bytes) {
            state = hash_bytes(std::string_view(reinterpret_cast<const char*>(&state), sizeof state));
            text += to_hex(state).substr(0, 4 + state % 8);
            text += ' ';
        }
        text.resize(bytes);
        return text;
    }

    /// A new chapter or a recent one of the workspace.
    chapter& choose_chapter(unsigned workspace) {
        auto& recent = m_chapters.at(workspace);
        if (recent.empty() || uniform() < m_options.new_chapter_share) {
            const double tokens = pareto(m_options.min_chapter_tokens, m_options.max_chapter_tokens,
                                         m_options.chapter_exponent);
            const auto name = "Chapter " + std::to_string(++m_chapter_count);
            recent.push_back(
                {make_text(name, static_cast<std::size_t>(tokens * bytes_per_token)), m_chapter_count});
            if (recent.size() > max_recent_chapters) {
                recent.pop_front();
            }
            return recent.back();
        }
        return recent.at(static_cast<std::size_t>(uniform() * static_cast<double>(recent.size())));
    }

    void add_request(load_plan& plan, double now) {
        planned_request request;
        request.at = now;
        request.workspace = pick(workspace_weights);
        request.tier = pick(tier_weights);
        request.entry = static_cast<unsigned>(m_random());
        auto& subject = choose_chapter(request.workspace);
        request.chapter = subject.number;
        const auto& chosen = tasks.at(static_cast<std::size_t>(uniform() * tasks.size()));
        const double notes =
            pareto(m_options.min_notes_tokens, m_options.max_notes_tokens, m_options.notes_exponent);
        request.output_tokens = std::max(8U, static_cast<unsigned>(notes * chosen.relative_output));
        request.loses_connection = uniform() < m_options.lost_connection_share;

        const auto preamble =
            make_text("Instructions of workspace " + std::to_string(request.workspace), preamble_bytes);
        const auto task_text =
            std::string(chosen.instruction) + " Request " + std::to_string(plan.requests.size()) + ".";
        request.prompt_bytes = preamble.size() + subject.text.size() + task_text.size() + role_bytes;
        request.body = R"({"model":"pluma","stream":true,"max_tokens":)" +
                       std::to_string(request.output_tokens) +
                       R"(,"messages":[{"role":"system","content":")" + preamble +
                       R"("},{"role":"user","content":")" + subject.text + "\\n" + task_text + R"("}]})";

        auto& summary = plan.summary;
        const double prompt_tokens = static_cast<double>(request.prompt_bytes) / bytes_per_token;
        summary.prompt_tokens += prompt_tokens;
        summary.fresh_prompt_tokens += subject.request_count > 0
                                           ? static_cast<double>(task_text.size()) / bytes_per_token
                                           : prompt_tokens - preamble_bytes / bytes_per_token;
        summary.output_tokens += request.output_tokens;
        ++summary.requests;
        ++subject.request_count;
        plan.requests.push_back(std::move(request));
    }

    /// Bytes that the role names "system" and "user" and the line breaks around the messages add to a prompt.
    static constexpr std::size_t role_bytes = 15;

    load_options m_options;
    std::mt19937_64 m_random;
    std::array<std::deque<chapter>, workspace_count> m_chapters;
    std::size_t m_chapter_count = 0;
};

} // namespace

load_plan make_load_plan(const load_options& options) {
    return load_plan_generator(options).make();
}

} // namespace borageford::test
