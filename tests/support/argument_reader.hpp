// Reads the command line of the small programs under tests: --name value, --name=value, or a bare --name.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace borageford::test {

/// Invariant: every argument that was asked for is marked as known, so that finish() can name the others.
class argument_reader {
public:
    /// Throws std::invalid_argument for an argument that doesn't start with "--".
    argument_reader(int count, const char* const* arguments);

    [[nodiscard]] std::string text(std::string_view name, std::string_view fallback);
    /// Throws std::invalid_argument when the value isn't a number.
    [[nodiscard]] double number(std::string_view name, double fallback);
    [[nodiscard]] bool is_set(std::string_view name);

    /// Throws std::invalid_argument when an argument was given that nothing asked for.
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
