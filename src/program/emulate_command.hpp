// The subcommand `borageford emulate FILE`: runs an experiment with emulated backend servers, store and
// callers against real gateways.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// `words` has one element, the path of the experiment's file. Throws usage_error.
exit_code run_emulate(arguments words);

} // namespace borageford::program
