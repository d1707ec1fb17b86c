// Entry point of the gateway process, which forwards callers' requests to backend servers.
#pragma once

#include "gateway/deployment.hpp"

#include <string>

namespace borageford::gateway {

/// Runs a gateway with the settings in `settings_file` until it is told to stop, and then exits the process.
/// Returns an exit code only if the settings are invalid; the problems are then printed to stderr.
int run_gateway(const std::string& settings_file, const deployment& current_deployment);

} // namespace borageford::gateway
