// Two subcommands that read gateways' logs: `borageford logs` prints the timeline of one request, `borageford
// losses` counts how requests ended.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// `words` holds the request's id and the paths of log files; without files, standard input is read. The exit
/// code is exit_code::failed when no line is about the request. Throws usage_error.
exit_code run_logs(arguments words);

/// `words` holds the paths of log files; without files, standard input is read. The exit code is
/// exit_code::failed when no line reports the end of a request. Throws usage_error.
exit_code run_losses(arguments words);

} // namespace borageford::program
