// Fuzz tests of wire::decode and wire::decode_length: a damaged frame is either rejected with frame_error or
// decoded into a message that can be encoded again.
#include "fuzz/mutator.hpp"
#include "wire/message.hpp"

#include <catch2/catch.hpp>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace borageford;

namespace {

constexpr std::uint64_t first_seed = 20261202;
constexpr int iterations = 200'000;

std::string frame_of(wire::message content) {
    const auto bytes = wire::encode(7, content);
    const auto frame = std::span(bytes).subspan(wire::frame_header_size);
    return {reinterpret_cast<const char*>(frame.data()), frame.size()};
}

template <std::size_t... Index>
std::vector<std::string> empty_messages(std::index_sequence<Index...> /*all*/) {
    return {frame_of(std::variant_alternative_t<Index, wire::message>())...};
}

/// One empty frame of each message type, and filled frames of the types with vectors or nested tables.
std::vector<std::string> make_samples() {
    auto samples = empty_messages(std::make_index_sequence<std::variant_size_v<wire::message>>());
    wire::offer_message offer;
    offer.workspace = "lectores";
    offer.target = "pluma";
    offer.prefix_hashes = {1, 2, 3, ~0ULL};
    samples.push_back(frame_of(std::move(offer)));
    wire::offer_reply_message reply;
    reply.load = std::make_unique<wire::load_report_message>();
    reply.load->cached_prefixes.assign(50, 9);
    samples.push_back(frame_of(std::move(reply)));
    wire::start_message start;
    start.method = "POST";
    start.path = "/v1/chat/completions";
    start.body.assign(300, 'b');
    samples.push_back(frame_of(std::move(start)));
    wire::chunk_message chunk;
    chunk.data.assign(500, 'c');
    samples.push_back(frame_of(std::move(chunk)));
    wire::configuration_reply_message configuration;
    configuration.deflated_text.assign(400, 't');
    samples.push_back(frame_of(std::move(configuration)));
    return samples;
}

std::string hexadecimal(const std::string& bytes) {
    std::string out;
    for (const char byte : bytes) {
        std::array<char, 3> digits{};
        std::snprintf(digits.data(), digits.size(), "%02x", static_cast<unsigned char>(byte));
        out += digits.data();
    }
    return out;
}

/// True when the frame was decoded, false when it was rejected with frame_error. Throws any other exception
/// of the decoder.
bool is_decoded(const std::string& frame) {
    // A copy of exactly this length, so that a sanitizer reports a read past its end.
    const std::vector<std::byte> exact(reinterpret_cast<const std::byte*>(frame.data()),
                                       reinterpret_cast<const std::byte*>(frame.data()) + frame.size());
    try {
        const auto decoded = wire::decode(exact);
        std::ignore = wire::encode(decoded.revision, decoded.content);
        return true;
    } catch (const wire::frame_error&) {
        return false;
    }
}

} // namespace

TEST_CASE("damaged frames are rejected or decoded and cause no other error", "[fuzz]") {
    // A network device or a faulty peer may damage frames. A decoder that reads past its buffer, or throws an
    // exception that its callers don't expect, ends the process and with it all its requests.
    const auto samples = make_samples();
    test::mutator mutator(first_seed);
    int decoded = 0;
    for (int iteration = 0; iteration < iterations; ++iteration) {
        const auto frame = mutator.mutate(samples);
        try {
            decoded += is_decoded(frame) ? 1 : 0;
        } catch (const std::exception& error) {
            FAIL("iteration " << iteration << ", " << error.what() << ": " << hexadecimal(frame));
        }
    }
    // Both outcomes must occur; otherwise the samples or the mutations are useless.
    CHECK(decoded > 0);
    CHECK(decoded < iterations);
}

TEST_CASE("frame lengths outside the limits are rejected", "[fuzz]") {
    test::mutator mutator(first_seed);
    for (int iteration = 0; iteration < iterations; ++iteration) {
        std::array<std::byte, wire::frame_header_size> header{};
        std::uint32_t expected = 0;
        for (auto& byte : header) {
            byte = static_cast<std::byte>(mutator.below(256) * mutator.below(2));
            expected = (expected << 8U) | std::to_integer<std::uint32_t>(byte);
        }
        bool is_accepted = true;
        try {
            is_accepted = wire::decode_length(header) == expected;
        } catch (const wire::frame_error&) {
            is_accepted = false;
        }
        if (is_accepted != (expected > 0 && expected <= wire::frame_size_limit)) {
            FAIL("length " << expected);
        }
    }
}
