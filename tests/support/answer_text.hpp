// The answers of fake_engine. Each token is computed from the request's body and the token's index, so that a
// test that has the body notices an answer to another request, a repeated token and a damaged byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace borageford::test {

/// XXH3-64 of a request's body.
[[nodiscard]] std::uint64_t fingerprint_of(std::string_view body) noexcept;

/// The value as 16 lowercase hexadecimal digits, with leading zeros.
[[nodiscard]] std::string to_hex(std::uint64_t value);

/// The text of one token. Token 0 is the fingerprint in hexadecimal; later ones are a space and five
/// hexadecimal digits.
[[nodiscard]] std::string token_text(std::uint64_t fingerprint, std::uint32_t index);

/// The text of a complete answer with `tokens` tokens.
[[nodiscard]] std::string answer_text(std::uint64_t fingerprint, std::uint32_t tokens);

} // namespace borageford::test
