// The operators' subcommands: thin clients of the administration API.
#pragma once

#include "program/command.hpp"

#include <span>

namespace borageford::program {

/// In the order in which the help lists them.
[[nodiscard]] std::span<const command> operator_commands();

} // namespace borageford::program
