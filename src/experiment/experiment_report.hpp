// What an experiment came to: a text for people, a plot, and a table of all requests.
#pragma once

#include "experiment/outcome_table.hpp"

#include <chrono>
#include <filesystem>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace borageford::experiment {

/// When something was done to the system, since the experiment's begin.
using fault_marks = std::vector<std::pair<milliseconds, std::string>>;

/// Shares of requests and times to the first event, for each group of callers.
void write_summary(std::ostream& out, const outcome_table& outcomes, const fault_marks& faults);

/// Outcomes a second and times to the first event over time, as SVG.
[[nodiscard]] std::string draw_outcomes(const std::string& title, const outcome_table& outcomes,
                                        const fault_marks& faults);

/// Writes summary.txt, plot.svg and requests.csv. Throws std::runtime_error when a file can't be written.
void write_report(const std::filesystem::path& folder, const std::string& title,
                  const outcome_table& outcomes, const fault_marks& faults);

} // namespace borageford::experiment
