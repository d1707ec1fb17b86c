// Compresses text with zlib and encodes bytes as base64. Used for configurations, which are large, have many
// similar lines and are sent to every node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford {

/// Thrown when the input is not valid deflated data or base64, when the inflated text exceeds its limit, or
/// when zlib fails.
class compression_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Compresses the text into a zlib stream. Throws compression_error when zlib fails.
[[nodiscard]] std::vector<std::uint8_t> deflate_text(std::string_view text);

/// Decompresses what deflate_text() returned. Throws compression_error when the data is invalid or truncated,
/// or when the text is larger than `size_limit` bytes. The limit keeps a small message from a faulty or
/// malicious peer from exhausting the memory.
[[nodiscard]] std::string inflate_text(std::span<const std::uint8_t> packed, std::size_t size_limit);

/// Encodes bytes as base64 with padding, for example to store them in a JSON string.
[[nodiscard]] std::string encode_base64(std::span<const std::uint8_t> bytes);
/// Decodes padded base64. Throws compression_error when the text isn't valid base64.
[[nodiscard]] std::vector<std::uint8_t> decode_base64(std::string_view text);

} // namespace borageford
