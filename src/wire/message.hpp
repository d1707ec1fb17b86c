// Defines the message type of the protocol between borageford's processes, and its encoding. The messages are
// described in messages.fbs.
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

/// The protocol version sent in the hello message. A connection between different versions is closed.
inline constexpr std::uint32_t protocol_version = 1;
/// Largest frame in bytes, without its length header. A connection that announces a longer frame is closed
/// before memory is allocated for the frame.
inline constexpr std::uint32_t frame_size_limit = 8U * 1024 * 1024;
/// Size in bytes of the big-endian length that precedes each frame.
inline constexpr std::size_t frame_header_size = 4;

/// Any message of the protocol, in the order of the union `payload` in messages.fbs.
using message = std::variant<hello_message, heartbeat_message, offer_message, offer_reply_message,
                             grant_message, start_message, withdraw_message, not_begun_message,
                             answer_head_message, chunk_message, answer_end_message, acknowledge_message,
                             attach_message, fate_message, abandon_message, leaving_message,
                             configuration_request_message, configuration_reply_message, crash_mark_message>;

/// A received message and the configuration revision of the process that sent it.
struct envelope {
    std::uint64_t revision = 0;
    message content;
};

/// Thrown for a frame that is truncated, corrupted or too large. The connection that it came on must be
/// closed.
class frame_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Encodes a message as a frame including the length header. `revision` is the sender's configuration
/// revision. Throws frame_error when the frame would be larger than `frame_size_limit`.
[[nodiscard]] std::vector<std::byte> encode(std::uint64_t revision, const message& content);

/// Decodes a frame's length header. Throws frame_error when the length is zero or above `frame_size_limit`.
[[nodiscard]] std::uint32_t decode_length(std::span<const std::byte, frame_header_size> header);

/// Verifies and decodes one frame without its length header. Throws frame_error when the frame isn't a valid
/// message of this protocol.
[[nodiscard]] envelope decode(std::span<const std::byte> frame);

/// Converts an identifier to its form in messages.
[[nodiscard]] inline id to_wire(const identifier& value) {
    return {value.high, value.low};
}
/// Converts an identifier from its form in messages.
[[nodiscard]] inline identifier from_wire(const id& value) {
    return {value.high(), value.low()};
}
/// The number that stands for an error kind in messages.
[[nodiscard]] inline std::uint8_t to_wire(error_kind kind) {
    return static_cast<std::uint8_t>(kind);
}
/// The error kind for a number in a message. A number that this version doesn't define becomes
/// error_kind::internal, because that kind doesn't claim whether the request has run.
[[nodiscard]] error_kind error_kind_from_wire(std::uint8_t value);

} // namespace borageford::wire
