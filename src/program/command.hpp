// The description of a subcommand: its name, its arguments, its help text and its exit codes.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace borageford::program {

/// The exit codes of the subcommands; docs/ADMINISTRATION.md has the same list.
enum class exit_code : int {
    done = 0,
    failed = 1,           ///< for example, the entry couldn't be reached or couldn't execute the call
    wrong_input = 2,      ///< an error in the arguments, the settings or the intent; nothing was changed
    conflict = 3,         ///< another revision was confirmed after the plan was made; nothing was changed
    not_everywhere = 4,   ///< accepted, but not all nodes confirmed the change before the timeout
    outcome_unknown = 5,  ///< the change may have been accepted; the same call may safely be repeated
    stopped_at_once = 130 ///< a second signal ended the process without a graceful shutdown
};

/// The positional arguments after the subcommand's name, without flags.
using arguments = std::span<const std::string>;

/// One subcommand.
struct command {
    std::string_view name;
    std::string_view words;   ///< the arguments as the usage line shows them, for example "PLAN [--wait]"
    std::string_view summary; ///< one line of help
    std::string_view details; ///< further lines of help; may be empty
    exit_code (*run)(arguments words);
};

} // namespace borageford::program
