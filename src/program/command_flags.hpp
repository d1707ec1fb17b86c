// The flags of the operators' subcommands, as values. Abseil's own types stay in the .cpp file.
#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace borageford::program {

/// A flag or a word that is missing or wrong.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct command_flags {
    std::string entry;         ///< "IP:PORT" of an entry's administration listener
    std::string token;         ///< the operators'
    std::string operator_name; ///< recorded with every revision
    bool json = false;
    std::optional<std::chrono::milliseconds> wait; ///< until a change is in force everywhere
    std::string workspace;
    std::string since; ///< "30m": how far back to look
    int limit = 20;
};

/// Reads the flags and the environment. Throws usage_error.
[[nodiscard]] command_flags read_command_flags();

} // namespace borageford::program
