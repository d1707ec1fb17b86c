// The process that carries callers' requests straight to backend servers.
#pragma once

#include "gateway/deployment.hpp"

#include <string>

namespace borageford::gateway {

/// Runs a gateway with the settings in this file until it is told to stop. Returns its exit code when the
/// settings are wrong.
int run_gateway(const std::string& settings_file, const deployment& speech);

} // namespace borageford::gateway
