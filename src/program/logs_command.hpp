// borageford logs: gathers and tells the lines of one request.
#pragma once

#include "program/command.hpp"

namespace borageford::program {

/// `words` are the request's id and the files; without files standard input is read.
exit_code run_logs(arguments words);

} // namespace borageford::program
