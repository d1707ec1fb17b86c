// The settings files of the gateways that an experiment is played against.
#pragma once

#include "experiment/experiment_plan.hpp"

#include <cstddef>
#include <filesystem>
#include <string>
#include <vector>

namespace borageford::experiment {

/// The text of one gateway's file.
[[nodiscard]] std::string gateway_file_text(const experiment_plan& plan, std::size_t gateway);

/// Writes one file for each gateway and returns their paths. Throws std::runtime_error when one can't be
/// written.
std::vector<std::filesystem::path> write_gateway_files(const experiment_plan& plan,
                                                       const std::filesystem::path& folder);

} // namespace borageford::experiment
