// Writes the settings files of the gateways, waits until the gateways are ready, generates the load and the
// faults, and writes the report.
#include "program/emulate_command.hpp"

#include "emulator/rate_limit_excess.hpp"
#include "emulator/refusal_record.hpp"
#include "emulator/retry_excess.hpp"
#include "experiment/experiment_reader.hpp"
#include "experiment/experiment_report.hpp"
#include "experiment/experiment_site.hpp"
#include "experiment/gateway_files.hpp"
#include "experiment/load_runner.hpp"
#include "gateway/gateway_settings.hpp"
#include "program/command_flags.hpp"
#include "settings/ini_document.hpp"
#include "settings/section_reader.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <ranges>
#include <stdexcept>
#include <string>
#include <vector>

ABSL_FLAG(std::string, report, "report", "the folder for the gateways' files and the report");
ABSL_FLAG(std::string, ready_limit, "60s", "how long emulate waits until the gateways are ready");

namespace borageford::program {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds readiness_check_period{200};
constexpr std::size_t most_shown = 20; ///< ids of broken requests

/// One run of an experiment, on the calling thread.
class experiment_run {
public:
    experiment_run(const experiment::experiment_plan& plan, std::filesystem::path folder, milliseconds limit)
        : m_plan(plan),
          m_folder(std::move(folder)),
          m_ready_limit(limit),
          m_site(m_context.get_executor(), m_timers, m_plan),
          m_runner(m_context.get_executor(), m_timers, m_plan) {}

    /// Returns when the report is written, or when the gateways weren't ready in time.
    exit_code play() {
        m_site.start();
        m_site.set_crash_rule(m_plan.crash_rule, m_plan.back_after);
        show_gateways();
        m_waiting_since = std::chrono::steady_clock::now();
        check_readiness();
        m_context.run();
        return m_result;
    }

private:
    void show_gateways() {
        m_gateway_files = experiment::write_gateway_files(m_plan, m_folder);
        for (const auto& file : m_gateway_files) {
            std::cout << "borageford gateway --settings " << file.string() << '\n';
        }
        std::cout << "waiting until these are ready" << std::endl;
    }

    void check_readiness() {
        m_timer = m_timers.after(m_context.get_executor(), readiness_check_period, [this] {
            m_runner.check_readiness([this](std::size_t ready) { on_readiness(ready); });
        });
    }

    void on_readiness(std::size_t ready) {
        if (ready == m_plan.gateways.size()) {
            begin();
        } else if (std::chrono::steady_clock::now() - m_waiting_since > m_ready_limit) {
            std::cerr << "only " << ready << " of " << m_plan.gateways.size() << " gateways are ready\n";
            finish(exit_code::failed);
        } else {
            check_readiness();
        }
    }

    void begin() {
        std::cout << "playing " << m_plan.name << std::endl;
        m_begin = std::chrono::steady_clock::now();
        m_site.begin_faults(
            {[this](std::string_view what) {
                 const auto at =
                     std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_begin);
                 m_marks.emplace_back(at, what);
             },
             // Whoever started the gateways has to follow these lines.
             [](std::size_t gateway) { std::cout << "kill gateway " << gateway << std::endl; },
             [this](std::size_t gateway) {
                 experiment::note_earlier_start(m_gateway_files.at(gateway));
                 std::cout << "start gateway " << gateway << std::endl;
             }});
        m_runner.start([this] { report(); });
    }

    void report() {
        experiment::write_summary(std::cout, m_runner.outcomes(), m_marks);
        experiment::write_report(m_folder, m_plan.name, m_runner.outcomes(), m_marks);
        print_rate_limits();
        print_retries();
        print_rushes();
        const auto& streams = m_runner.streams();
        std::cout << "streams resumed by callers: " << streams.resumed
                  << "\nstreams with events of several software versions: " << streams.mixed << '\n';
        const auto refusals = count_refusals();
        print_refusals(refusals);
        std::cout << "report in " << m_folder.string() << '\n';
        const bool has_stopped_crashes =
            print_crashes("one request", m_site.fatal_by_body(), emulator::crashes_by_request) &&
            print_crashes("one part of prompts", m_site.fatal_by_part(), emulator::crashes_by_part);
        const bool is_good = refusals.broken() == 0 && streams.mixed == 0 && has_stopped_crashes;
        finish(is_good ? exit_code::done : exit_code::failed);
    }

    /// Prints the shares of requests that were served during each rush and in the time before it.
    void print_rushes() const {
        const auto served = [](const experiment::outcome_table::summary& of) {
            return of.share(experiment::outcome::in_time) + of.share(experiment::outcome::late);
        };
        const auto& outcomes = m_runner.outcomes();
        for (const auto& rush : m_plan.rushes) {
            const auto before = outcomes.of_time(milliseconds(0), rush.at);
            const auto during = outcomes.of_time(rush.at, rush.at + rush.length);
            std::cout << "served during the rush " << rush.name << ": " << served(during) << " of "
                      << during.requests << ", before it: " << served(before) << " of " << before.requests
                      << '\n';
        }
    }

    /// Prints how many servers requests have crashed; returns whether few enough of them arrived late.
    static bool print_crashes(std::string_view cause, const emulator::fatal_record& record,
                              std::size_t crashes) {
        if (record.arrivals.empty()) {
            return true;
        }
        const auto late = record.count_late(crashes);
        std::cout << "servers crashed by " << cause << ": " << record.crashes.size()
                  << "; arrivals later than 3 s after crash " << crashes << ": " << late << '\n';
        return late <= emulator::tolerated_late_arrivals;
    }

    /// Prints the worst window of each server that named a rate limit.
    void print_rate_limits() const {
        m_site.visit_servers([](const emulator::emulated_backend& server) {
            const auto worst = emulator::find_worst_window(server.arrival_times(), server.named_limits());
            if (worst.has_value()) {
                std::cout << "rate limit of " << server.name() << ": at most " << worst->requests
                          << " requests in 4 s, allowed " << worst->allowed << '\n';
            }
        });
    }

    /// Prints the worst window of the retries of each service, against the gateways' own settings.
    void print_retries() const {
        std::map<std::string, std::vector<emulator::recorded_arrival>> arrivals;
        m_site.visit_servers([&arrivals](const emulator::emulated_backend& server) {
            std::ranges::copy(server.arrived_requests(),
                              std::back_inserter(arrivals[server.options().service]));
        });
        const auto terms = read_retry_terms();
        for (auto& [service, of_service] : arrivals) {
            const auto sent = m_runner.sent().find(service);
            const auto worst = emulator::find_worst_retry_window(
                std::move(of_service),
                sent != m_runner.sent().end() ? sent->second
                                              : std::vector<std::chrono::steady_clock::time_point>(),
                terms);
            if (worst.has_value()) {
                std::cout << "retries at " << service << ": at most " << worst->retries
                          << " in one window, allowed " << worst->allowed << '\n';
            }
        }
    }

    [[nodiscard]] emulator::retry_terms read_retry_terms() const {
        std::vector<settings::problem> problems;
        const auto& file = m_gateway_files.front();
        const auto document =
            settings::parse_ini(settings::read_file(file.string(), problems), file.string(), problems);
        const auto read = gateway::read_gateway_settings(document, problems);
        return {read.retry_ratio, read.retry_reserve, read.retry_window};
    }

    [[nodiscard]] emulator::refusal_counts count_refusals() const {
        std::vector<emulator::server_arrivals> servers;
        m_site.visit_servers([&servers](const emulator::emulated_backend& server) {
            servers.emplace_back(server.arrived_requests());
        });
        return emulator::count_refusals(servers, m_runner.at_most_once_ids(), m_runner.not_run_ids());
    }

    void print_refusals(const emulator::refusal_counts& counts) const {
        std::size_t late = 0;
        m_site.visit_servers(
            [&late](const emulator::emulated_backend& server) { late += server.late_answers(); });
        std::cout << "refusals by servers: " << counts.refused
                  << "; requests sent again to a server that had refused them: " << counts.returned_to_server
                  << ", on the same connection: " << counts.returned_on_connection
                  << "; late answers of servers: " << late
                  << "\nrequests that may run once and ran more often: " << counts.ran_twice
                  << "; that ran though refused: " << counts.ran_though_refused
                  << "; of both, refused first: " << counts.broken_refused_first
                  << ", ran on the connection of a refusal: " << counts.broken_on_connection << '\n';
        for (const auto& id : counts.broken_ids | std::views::take(most_shown)) {
            std::cout << "ran twice or though refused: " << id << '\n';
        }
    }

    void finish(exit_code result) {
        m_result = result;
        m_context.stop();
    }

    const experiment::experiment_plan& m_plan;
    std::filesystem::path m_folder;
    std::vector<std::filesystem::path> m_gateway_files;
    milliseconds m_ready_limit;
    timer_service m_timers;
    boost::asio::io_context m_context{1};
    experiment::experiment_site m_site;
    experiment::load_runner m_runner;
    experiment::fault_marks m_marks;
    std::chrono::steady_clock::time_point m_waiting_since;
    std::chrono::steady_clock::time_point m_begin;
    timer_subscription m_timer;
    exit_code m_result = exit_code::done;
};

milliseconds read_ready_limit() {
    const auto limit = settings::parse_duration(absl::GetFlag(FLAGS_ready_limit));
    if (!limit) {
        throw usage_error("--ready-limit needs a duration with its unit, for example 60s");
    }
    return *limit;
}

} // namespace

exit_code run_emulate(arguments words) {
    if (words.size() != 1) {
        throw usage_error("emulate needs the FILE of one experiment");
    }
    std::vector<settings::problem> problems;
    const auto text = settings::read_file(words.front(), problems);
    const auto plan = experiment::read_experiment(text, words.front(), problems);
    settings::print_problems(problems, std::cerr);
    if (!problems.empty()) {
        return exit_code::wrong_input;
    }
    const auto limit = read_ready_limit();
    try {
        return experiment_run(plan, absl::GetFlag(FLAGS_report), limit).play();
    } catch (const std::exception& error) {
        std::cerr << "emulate: " << error.what() << '\n';
        return exit_code::failed;
    }
}

} // namespace borageford::program
