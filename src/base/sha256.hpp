// SHA-256, for comparing credentials with the hashes that the configuration keeps.
#pragma once

#include <string>
#include <string_view>

namespace borageford {

/// 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace borageford
