// The client that the operators' subcommands use to call an entry's administration API.
#pragma once

#include "http/message.hpp"
#include "program/command_flags.hpp"

#include <stdexcept>
#include <string>

namespace borageford::program {

/// Thrown when the entry couldn't be reached or didn't answer.
class entry_error : public std::runtime_error {
public:
    entry_error(const std::string& text, bool may_have_acted)
        : std::runtime_error(text), m_may_have_acted(may_have_acted) {}
    /// Whether the call may have been sent, so that the entry may have executed it.
    [[nodiscard]] bool may_have_acted() const noexcept { return m_may_have_acted; }

private:
    bool m_may_have_acted;
};

/// Sends the call and returns the response, whatever its status. Throws entry_error, and usage_error when the
/// address or the token is missing or malformed.
[[nodiscard]] http::response call_entry(const command_flags& flags, const std::string& method,
                                        const std::string& target, const std::string& body = {});

/// Percent-encodes a value for use in the path or the query of a request target.
[[nodiscard]] std::string encode_for_target(const std::string& text);

} // namespace borageford::program
