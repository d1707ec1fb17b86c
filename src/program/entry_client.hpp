// One call of an entry's administration API from the operator's terminal.
#pragma once

#include "http/message.hpp"
#include "program/command_flags.hpp"

#include <stdexcept>
#include <string>

namespace borageford::program {

/// The entry didn't answer.
class entry_error : public std::runtime_error {
public:
    entry_error(const std::string& text, bool may_have_acted)
        : std::runtime_error(text), m_may_have_acted(may_have_acted) {}
    /// The call was sent: what it asks for may be in force.
    [[nodiscard]] bool may_have_acted() const noexcept { return m_may_have_acted; }

private:
    bool m_may_have_acted;
};

/// Sends the call and returns the answer, whatever its status. Throws entry_error and usage_error.
[[nodiscard]] http::response call_entry(const command_flags& flags, const std::string& method,
                                        const std::string& target, const std::string& body = {});

/// A value as it may stand in a path or a query.
[[nodiscard]] std::string encode_for_target(const std::string& text);

} // namespace borageford::program
