// borageford logs: gathers and tells the lines of one request. borageford losses: counts from the same logs
// what callers didn't get.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// `words` are the request's id and the files; without files standard input is read.
exit_code run_logs(arguments words);

/// `words` are the files; without any, standard input is read.
exit_code run_losses(arguments words);

} // namespace borageford::program
