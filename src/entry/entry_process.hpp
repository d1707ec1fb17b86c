// Runs the process that the command `borageford entry` starts: it accepts requests from callers and serves
// them.
#pragma once

#include <string>

namespace borageford::entry {

/// Runs an entry until the process is asked to stop. Returns the process's exit code: 0 after a graceful
/// stop, 2 when the settings file has errors (all of them are printed), 1 when the entry can't start.
int run_entry(const std::string& settings_file);

} // namespace borageford::entry
