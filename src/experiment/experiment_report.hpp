// The report of an experiment: a summary as text, a plot, and a table of all requests.
#pragma once

#include "experiment/outcome_table.hpp"

#include <chrono>
#include <filesystem>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace borageford::experiment {

/// When each fault began and ended, measured from the experiment's begin, with a description.
using fault_marks = std::vector<std::pair<milliseconds, std::string>>;

/// Prints the share of each outcome and the times to the first event, for each group of callers and for all,
/// and then the faults.
void write_summary(std::ostream& out, const outcome_table& outcomes, const fault_marks& faults);

/// Plots the outcomes per second and the times to the first event over time, and returns the plot as SVG.
[[nodiscard]] std::string draw_outcomes(const std::string& title, const outcome_table& outcomes,
                                        const fault_marks& faults);

/// Writes summary.txt, plot.svg and requests.csv into `folder`, which is created if missing. Throws
/// std::runtime_error when a file can't be written.
void write_report(const std::filesystem::path& folder, const std::string& title,
                  const outcome_table& outcomes, const fault_marks& faults);

} // namespace borageford::experiment
