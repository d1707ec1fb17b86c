// Deflated text, for what is large, alike in its lines, and sent to every node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace borageford {

/// Bytes that aren't what deflate_text() makes, or that grow past the limit.
class compression_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[nodiscard]] std::vector<std::uint8_t> deflate_text(std::string_view text);

/// Throws compression_error. Reads no further than `size_limit` bytes of text, so that a few bytes from a
/// damaged or hostile peer can't fill the memory.
[[nodiscard]] std::string inflate_text(std::span<const std::uint8_t> packed, std::size_t size_limit);

/// For bytes that must be part of a JSON string.
[[nodiscard]] std::string encode_base64(std::span<const std::uint8_t> bytes);
/// Throws compression_error.
[[nodiscard]] std::vector<std::uint8_t> decode_base64(std::string_view text);

} // namespace borageford
