// Generates, parses and formats 128-bit identifiers.
#include "base/identifier.hpp"

#include <array>
#include <charconv>
#include <random>

namespace borageford {
namespace {

constexpr std::size_t half_digits = 16;
constexpr int hexadecimal = 16;

std::mt19937_64 seeded_engine() {
    std::random_device source;
    std::seed_seq seed{source(), source(), source(), source(), source(), source(), source(), source()};
    return std::mt19937_64(seed);
}

void append_half(std::string& text, std::uint64_t half) {
    std::array<char, half_digits> digits{};
    const auto result = std::to_chars(digits.begin(), digits.end(), half, hexadecimal);
    const auto length = static_cast<std::size_t>(result.ptr - digits.data());
    text.append(half_digits - length, '0');
    text.append(digits.data(), length);
}

bool parse_half(std::string_view text, std::uint64_t& half) noexcept {
    const auto result = std::from_chars(text.data(), text.data() + text.size(), half, hexadecimal);
    return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

} // namespace

identifier identifier::random() {
    thread_local std::mt19937_64 engine = seeded_engine();
    return {engine(), engine()};
}

std::optional<identifier> identifier::parse(std::string_view text) noexcept {
    if (text.size() != 2 * half_digits) {
        return std::nullopt;
    }
    identifier value;
    if (!parse_half(text.substr(0, half_digits), value.high) ||
        !parse_half(text.substr(half_digits), value.low)) {
        return std::nullopt;
    }
    return value;
}

std::string identifier::to_string() const {
    std::string text;
    text.reserve(2 * half_digits);
    append_half(text, high);
    append_half(text, low);
    return text;
}

} // namespace borageford
