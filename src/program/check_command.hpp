// `borageford check FILE`: everything that is wrong with a settings file or an intent.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// The file's sections tell what it is: [entry], [sidecar], or an intent.
exit_code run_check(arguments words);

} // namespace borageford::program
