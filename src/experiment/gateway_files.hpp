// The settings files of the gateways that an experiment is played against.
#pragma once

#include "experiment/experiment_plan.hpp"

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageford::experiment {

inline constexpr std::chrono::milliseconds usual_store_timeout{500};

/// The text of one gateway's file; `further` are more lines of its section.
[[nodiscard]] std::string gateway_file_text(const boost::asio::ip::tcp::endpoint& store,
                                            std::span<const gateway_place> gateways, std::size_t index,
                                            std::string_view further,
                                            std::chrono::milliseconds store_timeout = usual_store_timeout);

/// Writes one file for each gateway and returns their paths. Throws std::runtime_error when one can't be
/// written.
std::vector<std::filesystem::path> write_gateway_files(const experiment_plan& plan,
                                                       const std::filesystem::path& folder);

} // namespace borageford::experiment
