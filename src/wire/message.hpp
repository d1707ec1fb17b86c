// The typed messages of the protocol between our processes, and their codec.
#pragma once

#include "base/error_kind.hpp"
#include "base/identifier.hpp"
#include "wire/messages_generated.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <variant>
#include <vector>

namespace borageford::wire {

/// Spoken by both ends or the connection is closed.
inline constexpr std::uint32_t protocol_version = 1;
/// No frame is larger; a length above it ends the connection before anything is read or reserved.
inline constexpr std::uint32_t frame_size_limit = 8U * 1024 * 1024;
/// Bytes of the big-endian length before each frame.
inline constexpr std::size_t frame_header_size = 4;

using message = std::variant<hello_message, heartbeat_message, offer_message, offer_reply_message,
                             grant_message, start_message, withdraw_message, not_begun_message,
                             answer_head_message, chunk_message, answer_end_message, acknowledge_message,
                             attach_message, fate_message, abandon_message, leaving_message,
                             configuration_request_message, configuration_reply_message, crash_mark_message>;

/// A message with the configuration revision of the process that sent it.
struct envelope {
    std::uint64_t revision = 0;
    message content;
};

/// A frame that is truncated, corrupted or too large. The connection that carried it can't be trusted.
class frame_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Encodes a message with its length before it, ready for the socket.
[[nodiscard]] std::vector<std::byte> encode(std::uint64_t revision, const message& content);

/// Reads the length before a frame. Throws frame_error when it is zero or above the limit.
[[nodiscard]] std::uint32_t decode_length(std::span<const std::byte, frame_header_size> header);

/// Verifies and decodes one frame without its length. Throws frame_error for anything a peer that
/// speaks this protocol wouldn't send.
[[nodiscard]] envelope decode(std::span<const std::byte> frame);

[[nodiscard]] inline id to_wire(const identifier& value) {
    return {value.high, value.low};
}
[[nodiscard]] inline identifier from_wire(const id& value) {
    return {value.high(), value.low()};
}
[[nodiscard]] inline std::uint8_t to_wire(error_kind kind) {
    return static_cast<std::uint8_t>(kind);
}
/// A kind this version doesn't know becomes `internal`, whose outcome is unknown: the safe reading.
[[nodiscard]] error_kind error_kind_from_wire(std::uint8_t value);

} // namespace borageford::wire
