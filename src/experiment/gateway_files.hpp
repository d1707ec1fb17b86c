// Writes the settings files of the gateways that an experiment tests.
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

/// The default of the gateways' timeout for a call of the store.
inline constexpr std::chrono::milliseconds usual_store_timeout{500};

/// The text of the settings file of the gateway `gateways[index]`; `further` holds more lines for its section
/// [gateway].
[[nodiscard]] std::string gateway_file_text(const boost::asio::ip::tcp::endpoint& store,
                                            std::span<const gateway_place> gateways, std::size_t index,
                                            std::string_view further,
                                            std::chrono::milliseconds store_timeout = usual_store_timeout);

/// Changes a settings file for a gateway that is started again: the system has run before.
void note_earlier_start(const std::filesystem::path& settings);

/// Writes one file for each gateway into `folder`, which is created if missing, and returns the paths. Throws
/// std::runtime_error when one can't be written.
std::vector<std::filesystem::path> write_gateway_files(const experiment_plan& plan,
                                                       const std::filesystem::path& folder);

} // namespace borageford::experiment
