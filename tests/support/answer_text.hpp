// The answers of the engine's stand-in: each token follows from the request's body and the token's index, so
// that a crossed, doubled or damaged answer is seen by whoever knows the body.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::test {

/// XXH3-64 of a request's body.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view body) noexcept;

/// 16 hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

/// The text of one token; the first is the fingerprint itself.
[[nodiscard]] std::string token_text(std::uint64_t fingerprint, std::uint32_t index);

/// The text of a whole answer of this many tokens.
[[nodiscard]] std::string answer_text(std::uint64_t fingerprint, std::uint32_t tokens);

} // namespace borageford::test
