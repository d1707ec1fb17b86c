// Writes the report of an experiment: summary.txt, plot.svg and requests.csv.
#include "experiment/experiment_report.hpp"

#include "experiment/svg_plot.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace borageford::experiment {

namespace {

// Widths of table columns, in characters.
constexpr int name_width = 24;
constexpr int cell_width = 10;
constexpr double milliseconds_a_second = 1000;
/// The colours of the outcomes in the plot, in the order of the enumeration `outcome`.
constexpr std::array<std::string_view, outcome_count> colours{"#4a9", "#dc6", "#e94", "#c44", "#bbb"};

void write_row(std::ostream& out, std::string_view name, const outcome_table::summary& summary) {
    out << std::left << std::setw(name_width) << name << std::right << std::setw(cell_width)
        << summary.requests;
    for (std::size_t index = 0; index < outcome_count; ++index) {
        out << std::setw(cell_width) << std::fixed << std::setprecision(3)
            << summary.share(static_cast<outcome>(index));
    }
    for (const auto quantile : {summary.first_event_p50, summary.first_event_p95, summary.first_event_p99}) {
        out << std::setw(cell_width) << quantile.count();
    }
    out << '\n';
}

/// One value for each second.
std::vector<double> values_of(const std::vector<outcome_table::summary>& seconds,
                              const std::function<double(const outcome_table::summary&)>& value) {
    std::vector<double> result;
    std::ranges::transform(seconds, std::back_inserter(result), value);
    return result;
}

/// The faults as marks of a plot, whose horizontal axis is in seconds.
std::vector<std::pair<double, std::string>> marks_of(const fault_marks& faults) {
    std::vector<std::pair<double, std::string>> result;
    for (const auto& [at, what] : faults) {
        result.emplace_back(static_cast<double>(at.count()) / milliseconds_a_second, what);
    }
    return result;
}

std::string table_of_requests(const outcome_table& outcomes) {
    std::ostringstream out;
    out << "begun_ms,callers,outcome,first_event_ms,total_ms,tries,status,id\n";
    for (const auto& request : outcomes.requests()) {
        out << request.begun.count() << ',' << outcomes.groups().at(request.group) << ','
            << to_string(request.what) << ',' << request.first_event.count() << ',' << request.total.count()
            << ',' << request.attempts << ',' << request.status << ',' << request.id << '\n';
    }
    return out.str();
}

void write_file(const std::filesystem::path& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) {
        throw std::runtime_error("can't write " + path.string());
    }
}

} // namespace

void write_summary(std::ostream& out, const outcome_table& outcomes, const fault_marks& faults) {
    out << std::left << std::setw(name_width) << "callers" << std::right << std::setw(cell_width)
        << "requests";
    for (std::size_t index = 0; index < outcome_count; ++index) {
        out << std::setw(cell_width) << to_string(static_cast<outcome>(index));
    }
    out << std::setw(cell_width) << "p50 ms" << std::setw(cell_width) << "p95 ms" << std::setw(cell_width)
        << "p99 ms" << '\n';
    for (std::size_t group = 0; group < outcomes.groups().size(); ++group) {
        write_row(out, outcomes.groups()[group], outcomes.of_group(group));
    }
    write_row(out, "all", outcomes.of_all());
    out << "Shares of requests; times to the first event, or to the whole answer, of those that were "
           "served.\n";
    for (const auto& [at, what] : faults) {
        out << std::setw(8) << std::fixed << std::setprecision(2)
            << static_cast<double>(at.count()) / milliseconds_a_second << " s  " << what << '\n';
    }
}

std::string draw_outcomes(const std::string& title, const outcome_table& outcomes,
                          const fault_marks& faults) {
    const auto seconds = outcomes.by_second();
    plot shares{title + ": how requests ended, by the second in which they began",
                "requests",
                {},
                {},
                marks_of(faults)};
    for (std::size_t index = 0; index < outcome_count; ++index) {
        shares.stacked.push_back({std::string(to_string(static_cast<outcome>(index))),
                                  std::string(colours.at(index)),
                                  values_of(seconds, [index](const auto& summary) {
                                      return static_cast<double>(summary.by_outcome.at(index));
                                  })});
    }
    plot times{"time to the first event", "ms", {}, {}, marks_of(faults)};
    times.lines.push_back({"median", "#4a9", values_of(seconds, [](const auto& summary) {
                               return static_cast<double>(summary.first_event_p50.count());
                           })});
    times.lines.push_back({"95 in 100", "#c44", values_of(seconds, [](const auto& summary) {
                               return static_cast<double>(summary.first_event_p95.count());
                           })});
    return draw({shares, times});
}

void write_report(const std::filesystem::path& folder, const std::string& title,
                  const outcome_table& outcomes, const fault_marks& faults) {
    std::filesystem::create_directories(folder);
    std::ostringstream summary;
    summary << title << "\n\n";
    write_summary(summary, outcomes, faults);
    write_file(folder / "summary.txt", summary.str());
    write_file(folder / "plot.svg", draw_outcomes(title, outcomes, faults));
    write_file(folder / "requests.csv", table_of_requests(outcomes));
}

} // namespace borageford::experiment
