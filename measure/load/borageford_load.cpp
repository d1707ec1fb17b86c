// The load client of scripts/measure: sends the requests of a seeded load plan to the entries at their
// planned times and writes a CSV file with one line for each request. With --summary it only prints the
// totals of the plan.
#include "load/caller.hpp"
#include "load/load_plan.hpp"
#include "support/answer_text.hpp"
#include "support/argument_reader.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <string_view>

namespace borageford::test {

namespace asio = boost::asio;
using std::chrono::steady_clock;

namespace {

/// Names in the results file, in the order of `call_outcome`.
constexpr std::array<std::string_view, 5> outcome_names{"whole", "refused", "failed", "lost", "wrong"};

/// Runs a load plan and writes the results.
class load_run {
public:
    load_run(asio::io_context& context, const load_plan& plan, const caller_options& options,
             std::ostream& out)
        : m_context(context), m_plan(plan), m_options(options), m_out(out) {
        m_out << "number,at,workspace,tier,outcome,status,kind,first_token_ms,gap_percentile_ms,total_ms,"
                 "retry_after_s,resends,prompt_bytes,output_tokens,fingerprint,chapter,entry\n";
    }

    /// Sends every request at its planned time, whether or not earlier requests have been answered (an open
    /// loop).
    asio::awaitable<void> run() {
        const auto begin = steady_clock::now();
        asio::steady_timer timer(m_context);
        for (std::size_t number = 0; number < m_plan.requests.size(); ++number) {
            const auto at = begin + std::chrono::duration_cast<steady_clock::duration>(
                                        std::chrono::duration<double>(m_plan.requests[number].at));
            timer.expires_at(at);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(m_context, call(number, at), asio::detached);
        }
    }

private:
    asio::awaitable<void> call(std::size_t number, steady_clock::time_point arrival) {
        const auto& planned = m_plan.requests[number];
        const auto result = co_await run_call(m_context.get_executor(), m_options, planned, number, arrival);
        m_out << number << ',' << planned.at << ',' << planned.workspace << ',' << planned.tier << ','
              << outcome_names.at(static_cast<std::size_t>(result.outcome)) << ',' << result.status << ','
              << result.kind << ',' << result.first_token_ms << ',' << result.gap_percentile_ms << ','
              << result.total_ms << ',' << result.retry_after_s << ',' << result.resends << ','
              << planned.prompt_bytes << ',' << planned.output_tokens << ','
              << to_hex(fingerprint_of(planned.body)) << ',' << planned.chapter << ','
              << planned.entry % m_options.entries.size() << '\n';
    }

    asio::io_context& m_context;
    const load_plan& m_plan;
    const caller_options& m_options;
    std::ostream& m_out;
};

/// Parses a list such as "127.0.0.1:8080,127.0.0.2:8080".
std::vector<http::endpoint> read_entries(std::string_view list) {
    std::vector<http::endpoint> entries;
    while (!list.empty()) {
        const auto item = list.substr(0, list.find(','));
        entries.push_back(http::parse_endpoint(std::string(item)));
        list.remove_prefix(std::min(list.size(), item.size() + 1));
    }
    return entries;
}

load_options read_load(argument_reader& reader) {
    load_options load;
    load.seed = static_cast<std::uint64_t>(reader.number("seed", 1));
    load.seconds = reader.number("seconds", load.seconds);
    load.requests_per_second = reader.number("rate", load.requests_per_second);
    load.burst.start_seconds = reader.number("burst-begins", 0);
    load.burst.length_seconds = reader.number("burst-lasts", 0);
    load.burst.factor = reader.number("burst-factor", 1);
    load.min_chapter_tokens = reader.number("shortest-chapter", load.min_chapter_tokens);
    load.min_notes_tokens = reader.number("shortest-notes", load.min_notes_tokens);
    load.max_chapter_tokens = reader.number("longest-chapter", load.max_chapter_tokens);
    load.max_notes_tokens = reader.number("longest-notes", load.max_notes_tokens);
    load.lost_connection_share = reader.number("lost-connections", load.lost_connection_share);
    return load;
}

void print_summary(const load_summary& summary) {
    std::cout << "requests " << summary.requests << "\nprompt_tokens " << summary.prompt_tokens
              << "\nfresh_prompt_tokens " << summary.fresh_prompt_tokens << "\noutput_tokens "
              << summary.output_tokens << '\n';
}

int run_load(int count, const char* const* arguments) {
    argument_reader reader(count, arguments);
    const auto load = read_load(reader);
    caller_options options;
    options.entries = read_entries(reader.text("entries", ""));
    options.key_seed = load.seed;
    options.key_prefix = reader.text("key-prefix", "measure-");
    options.deadline = reader.text("deadline", options.deadline);
    options.is_direct = reader.is_set("direct");
    const auto results = reader.text("results", "/dev/stdout");
    const bool is_summary = reader.is_set("summary");
    reader.finish();
    const auto plan = make_load_plan(load);
    if (is_summary) {
        print_summary(plan.summary);
        return 0;
    }
    if (options.entries.empty()) {
        std::cerr << "--entries IP:PORT,... is required\n";
        return 2;
    }
    std::ofstream out(results);
    asio::io_context context(1);
    load_run run(context, plan, options, out);
    asio::co_spawn(context, run.run(), asio::detached);
    context.run();
    return out.good() ? 0 : 1;
}

} // namespace
} // namespace borageford::test

int main(int count, char** arguments) {
    try {
        return borageford::test::run_load(count, arguments);
    } catch (const std::exception& error) {
        std::cerr << "borageford_load: " << error.what() << '\n';
        return 2;
    }
}
