// Encodes and decodes the messages between borageford's processes with FlatBuffers, each in a frame with its
// length in front.
#include "wire/message.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace borageford::wire {
namespace {

constexpr std::size_t initial_buffer_size = 1024;
constexpr int bits_per_byte = 8;

/// Moves the message out of a FlatBuffers union that holds a `Message`.
template <typename Message>
message extract(payloadUnion& held) {
    return std::move(*static_cast<Message*>(held.value));
}

using extractor = message (*)(payloadUnion&);

/// The instance of extract() for each alternative of `message`, in the order of the union's members after
/// NONE.
constexpr std::array<extractor, std::variant_size_v<message>> extractors =
    []<std::size_t... Index>(std::index_sequence<Index...>) {
        return std::array<extractor, sizeof...(Index)>{
            &extract<std::variant_alternative_t<Index, message>>...};
    }(std::make_index_sequence<std::variant_size_v<message>>{});

static_assert(static_cast<std::size_t>(payload::MAX) == std::variant_size_v<message>,
              "wire::message must list the members of the union in messages.fbs in the same order");

void write_length(std::span<std::byte> header, std::size_t length) {
    for (std::size_t index = 0; index < frame_header_size; ++index) {
        const auto shift = bits_per_byte * (frame_header_size - 1 - index);
        header[index] = static_cast<std::byte>(length >> shift);
    }
}

} // namespace

std::vector<std::byte> encode(std::uint64_t revision, const message& content) {
    flatbuffers::FlatBufferBuilder builder(initial_buffer_size);
    const auto [type, offset] = std::visit(
        [&builder](const auto& held) {
            using held_type = std::decay_t<decltype(held)>;
            using table = typename held_type::TableType;
            // Copied, because the generated constant has no definition that a reference could bind to.
            const auto type = payloadTraits<table>::enum_value;
            return std::pair(type, table::Pack(builder, &held).Union());
        },
        content);
    builder.Finish(Createframe(builder, revision, type, offset));
    if (builder.GetSize() > frame_size_limit) {
        throw frame_error("the message of " + std::to_string(builder.GetSize()) +
                          " bytes is larger than the frame limit");
    }
    std::vector<std::byte> bytes(frame_header_size + builder.GetSize());
    write_length(bytes, builder.GetSize());
    std::ranges::copy(std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize())),
                      bytes.begin() + frame_header_size);
    return bytes;
}

std::uint32_t decode_length(std::span<const std::byte, frame_header_size> header) {
    std::uint32_t length = 0;
    for (const auto byte : header) {
        length = (length << bits_per_byte) | std::to_integer<std::uint32_t>(byte);
    }
    if (length == 0 || length > frame_size_limit) {
        throw frame_error("frame length " + std::to_string(length) + " is outside 1.." +
                          std::to_string(frame_size_limit));
    }
    return length;
}

envelope decode(std::span<const std::byte> bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!VerifyframeBuffer(verifier)) {
        throw frame_error("the frame is not a valid FlatBuffers message");
    }
    const auto* received = Getframe(data);
    const auto type = received->payload_type();
    if (type == payload::NONE || type > payload::MAX || received->payload() == nullptr) {
        throw frame_error("the frame contains no message or one of an unknown type");
    }
    payloadUnion held;
    held.type = type;
    held.value = payloadUnion::UnPack(received->payload(), type, nullptr);
    return {received->revision(), extractors.at(static_cast<std::size_t>(type) - 1)(held)};
}

error_kind error_kind_from_wire(std::uint8_t value) {
    return value <= to_wire(error_kind::internal) ? static_cast<error_kind>(value) : error_kind::internal;
}

} // namespace borageford::wire
