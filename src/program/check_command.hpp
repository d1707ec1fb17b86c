// The subcommand `borageford check FILE...`: reports all errors of settings files, experiments and intents.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// Checks the files that `words` names. Their sections tell what they are: [sidecar], [gateway],
/// [experiment], [entry] or [process]; a file without any of these is an intent. Throws usage_error when no
/// file is named.
exit_code run_check(arguments words);

} // namespace borageford::program
