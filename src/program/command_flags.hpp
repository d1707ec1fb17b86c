// The values of the flags of the operators' subcommands. Only the .cpp file uses Abseil's flag types.
#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace borageford::program {

/// Thrown when a flag or an argument is missing or wrong.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// The flags that the operators' subcommands share.
struct command_flags {
    std::string entry;         ///< "IP:PORT" of an entry's administration listener
    std::string token;         ///< authenticates the operator at the entry
    std::string operator_name; ///< recorded with every revision
    bool json = false;         ///< print the response body unchanged
    /// How long to wait until a change is in force everywhere; nothing: don't wait.
    std::optional<std::chrono::milliseconds> wait;
    std::string workspace; ///< list only requests of this workspace
    std::string since;     ///< how far back to list requests, for example "30m"
    int limit = 20;        ///< the most entries that are listed
};

/// Reads the flags and the environment variables. Throws usage_error when a value is wrong or the token file
/// can't be read.
[[nodiscard]] command_flags read_command_flags();

} // namespace borageford::program
