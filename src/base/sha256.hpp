// Computes SHA-256 hashes, for comparing credentials with the hashes in the configuration.
#pragma once

#include <string>
#include <string_view>

namespace borageford {

/// The SHA-256 hash of the bytes as 64 lower-case hexadecimal digits. Throws std::runtime_error when OpenSSL
/// doesn't offer SHA-256.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace borageford
