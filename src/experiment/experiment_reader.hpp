// Reads an experiment's INI file and checks the whole of it.
#pragma once

#include "experiment/experiment_plan.hpp"
#include "settings/ini_document.hpp"

#include <string_view>
#include <vector>

namespace borageford::experiment {

/// Every complaint goes to `problems`, each with file, line and key; the plan is usable only without any.
[[nodiscard]] experiment_plan read_experiment(std::string_view text, std::string_view file,
                                              std::vector<settings::problem>& problems);

} // namespace borageford::experiment
