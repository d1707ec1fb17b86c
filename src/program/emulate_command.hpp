// borageford emulate: plays an experiment against gateways.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// `words` is the name of the experiment's file.
exit_code run_emulate(arguments words);

} // namespace borageford::program
