// The process behind `borageford entry`.
#pragma once

#include <string>

namespace borageford::entry {

/// Runs an entry until it is told to stop. Returns the process's exit code: 0 after a graceful stop, 2 when
/// the settings are wrong (every error has been printed), 1 when it can't start.
int run_entry(const std::string& settings_file);

} // namespace borageford::entry
