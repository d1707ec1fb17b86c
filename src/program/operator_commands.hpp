// The subcommands for operators: clients of the administration API, and tools that read or check files.
#pragma once

#include "program/command.hpp"

#include <span>

namespace borageford::program {

/// All subcommands for operators, in the order in which the help lists them.
[[nodiscard]] std::span<const command> operator_commands();

} // namespace borageford::program
