// Reads the command lines of the programs under tests/ (fake servers, soak). Arguments have the form --name
// value,
// --name=value or --name.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: every argument that the program has read is marked as known, so that finish() can report an
/// unknown one.
class argument_reader {
public:
    /// Throws std::invalid_argument for an argument that doesn't start with "--".
    argument_reader(int count, const char* const* arguments);

    /// The argument's value, or `fallback` when it wasn't given.
    [[nodiscard]] std::string text(std::string_view name, std::string_view fallback);
    /// The argument's value, or `fallback` when it wasn't given. Throws std::invalid_argument when the value
    /// isn't a number.
    [[nodiscard]] double number(std::string_view name, double fallback);
    /// True when the argument was given with any value but "false".
    [[nodiscard]] bool is_set(std::string_view name);

    /// Call after reading all arguments. Throws std::invalid_argument when the command line has an argument
    /// that the program never read.
    void finish() const;

private:
    struct argument {
        std::string value;
        bool known = false;
    };

    argument* find(std::string_view name);

    std::map<std::string, argument, std::less<>> m_arguments;
};

} // namespace borageford::test
