// The sidecar: the only gate to one backend server.
#pragma once

#include <string>

namespace borageford::sidecar {

/// Runs a sidecar until it is told to stop. Returns the process's exit code: 0 after a graceful stop, 2 when
/// the settings are wrong (each complaint is on standard error), 1 when it can't listen.
int run_sidecar(const std::string& settings_file);

} // namespace borageford::sidecar
