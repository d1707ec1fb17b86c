// Reads HTTP/1.1 responses by the grammar of RFC 9110 and 9112, without the product's parser: what the fuzz
// test compares it with. Written to be checked against the grammar, not to be fast.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageford::test {

/// A whole response, with which a connection begins.
struct oracle_response {
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> fields; ///< of the head, without trailers
    std::string body;
    std::size_t size = 0; ///< its bytes, and those of the interim responses before it
    /// A Connection field isn't a list of tokens. The grammar forbids it, and it frames nothing, so that a
    /// reader may refuse it or not.
    bool has_odd_connection = false;
};

/// Reads the response with which the bytes of a connection begin that has ended in order after them. Nothing
/// if they are no response, or not a whole one.
[[nodiscard]] std::optional<oracle_response> read_by_grammar(std::string_view bytes);

} // namespace borageford::test
