// Reads the INI file of an experiment and reports all its errors.
#pragma once

#include "experiment/experiment_plan.hpp"
#include "settings/ini_document.hpp"

#include <string_view>
#include <vector>

namespace borageford::experiment {

/// Adds every error to `problems`, with file, line and key. The plan may be used only when there is none.
[[nodiscard]] experiment_plan read_experiment(std::string_view text, std::string_view file,
                                              std::vector<settings::problem>& problems);

} // namespace borageford::experiment
