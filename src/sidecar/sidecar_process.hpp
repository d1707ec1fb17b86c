// The sidecar process, through which all requests to one backend server pass.
#pragma once

#include <string>

namespace borageford::sidecar {

/// Runs a sidecar until the process is asked to stop. Returns the exit code of the process: 2 when the
/// settings are wrong (each error is printed to standard error), 1 when the sidecar can't start, for example
/// because it can't listen on an address. Doesn't return after a graceful stop: the process ends with the
/// exit code 0.
int run_sidecar(const std::string& settings_file);

} // namespace borageford::sidecar
