// One subcommand of the program and what it promises: its words, its help and its exit codes.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace borageford::program {

/// What every subcommand's exit code means. docs/ADMINISTRATION.md has the same list.
enum class exit_code : int {
    done = 0,
    failed = 1,           ///< the entry couldn't be reached or couldn't do it
    wrong_input = 2,      ///< wrong usage, settings or intent; nothing was changed
    conflict = 3,         ///< another revision came between; nothing was changed
    not_everywhere = 4,   ///< accepted, but some nodes weren't seen to hold it in time
    outcome_unknown = 5,  ///< it may have been accepted; the same call may be repeated
    stopped_at_once = 130 ///< a second signal
};

/// The words after the subcommand's name, without flags.
using arguments = std::span<const std::string>;

struct command {
    std::string_view name;
    std::string_view words;   ///< for the usage line, for example "PLAN [--wait]"
    std::string_view summary; ///< one line
    std::string_view details; ///< the rest of its help
    exit_code (*run)(arguments words);
};

} // namespace borageford::program
